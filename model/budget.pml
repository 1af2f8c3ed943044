/* A program's budget at its group of storage sidecars, for spin: edges that reserve at a majority, maps that
 * change, disks that are lost, and the take-over. README.md says which function each step stands for. Checked
 * for every order of steps:
 *
 *  - what is granted and not given back never exceeds the budget.
 *
 * Storage 0 to 2 are the group of the first map, 3 is a newcomer, the nearest to the program or the farthest.
 * Each edge has one attempt of most 1. An edge that dies is one that does nothing more. A Reserve whose answer
 * is lost, or that comes late, only adds an entry that counts against others.
 */
#ifndef EDGES
#define EDGES 2
#endif
#ifndef BUDGET
#define BUDGET 1
#endif
#ifndef MAPS
#define MAPS 3
#endif
#ifndef LOSSES /* disks that go, one after the other */
#define LOSSES 1
#endif
#ifndef DROPS /* whether the map may give up one that is silent */
#define DROPS 1
#endif
#ifndef NEWCOMER
#define NEWCOMER 1
#endif
#ifndef RESTARTS /* of a storage sidecar that keeps its disk */
#define RESTARTS 1
#endif
#ifndef GIVE_BACK /* reservations that did not run are settled with 0 */
#define GIVE_BACK 1
#endif

#ifndef SILENT /* a member may be silent for long while a lost disk is not made up for: two at once */
#define SILENT 1
#endif
/* What the sources do since the model found the errors without it; 0: as they were. With two edges the first
 * majority alone holds, which grants more than the sources do: those variants are checked without. */
#ifndef MEND_TAKEOVER /* beside a lost disk nobody is left out, and one that no map names is no source */
#define MEND_TAKEOVER 0
#endif
#ifndef MEND_COUNT /* what all of the group say decides; what a majority says does once it is asked again */
#define MEND_COUNT 0
#endif

/* Whether the disk keeps by which map it has all that is its own: one that comes back by that map goes on. */
#ifndef KEEP_TAKEN
#define KEEP_TAKEN 0
#endif
#ifndef STALE /* one that is started anew may hear of an older map first, from a controller that lags */
#define STALE 0
#endif
#ifndef KEEP_MAP /* the disk keeps the newest map that it went by: an older one is no news */
#define KEEP_MAP 1
#endif

#define bit_(s) (1 << (s))
#define has_bit(mask, s) (((mask) >> (s)) & 1)
#define count(mask) (has_bit(mask, 0) + has_bit(mask, 1) + has_bit(mask, 2) + has_bit(mask, 3))

/* Maps, by number: who is in, with the second disk, marked as one whose first was lost */
byte newest = 1;
byte in_map[MAPS + 1], second[MAPS + 1], marked[MAPS + 1];
bool near;

/* storage::group_of: the three nearest */
#define first_three(m) ((has_bit(m, 0) && has_bit(m, 1) && has_bit(m, 2)) -> ((m) & 7) : (m))
#define nearest_three(m) ((has_bit(m, 3) && count(m) == 4) -> ((m) & 11) : (m))
#define group(m) (near -> (nearest_three(in_map[m])) : (first_three(in_map[m])))

/* Storage: StoragePlane. has: entries by edge, reserved in the lower and settled with 0 in the upper half. */
mtype = { unready, ready, whole };
byte disk[4], map[4], has[4], heard[4], may_miss[4];
byte seen[4], taken[4]; /* on its disk: the newest map, and the map by which it was whole (0: none) */
bool held[4];
mtype state[4] = unready;
byte losses = 0, restarts = 0;

/* Edges: Ledger */
mtype = { asking, granted, refused };
mtype phase[EDGES] = asking;
byte edge_map[EDGES] = 1, yes[EDGES], told[EDGES];
bool again[EDGES]; /* its reservation is at a majority, which is asked once more */

#define settled(i) (16 << (i))
#define reserved(i) (1 << (i))
/* What counts of entries: a settled one counts nothing, whoever else knows it as reserved. */
#define open_of(entries) ((entries) & ~((entries) >> 4) & 15)

#ifdef PLANT_OLD_MAP
#define of_map(s, m) (map[s] >= (m))
#else
#define of_map(s, m) (map[s] == (m))
#endif

inline granted_sum() {
  g = 0; j = 0;
  do
  :: j < EDGES -> if :: phase[j] == granted -> g++ :: else fi; j++
  :: else -> break
  od;
  assert(g <= BUDGET);
  g = 0; j = 0
}

/* on Reserve, and its answer at StorageClient::on_reserve_reply */
inline reserve(e, s) {
#ifdef PLANT_MAXIMUM
  if
  :: count(open_of(has[s]) & ~reserved(e)) > told[e] -> told[e] = count(open_of(has[s]) & ~reserved(e))
  :: else
  fi;
#else
  told[e] = told[e] | (has[s] & ~reserved(e) & ~settled(e));
#endif
  if :: (has[s] & settled(e)) == 0 -> has[s] = has[s] | reserved(e) :: else fi;
  yes[e] = yes[e] | bit_(s);
  if
  :: count(yes[e]) == (MEND_COUNT && !again[e] -> 3 : 2) ->
#ifdef PLANT_MAXIMUM
     if :: told[e] + 1 <= BUDGET -> phase[e] = granted :: else -> phase[e] = refused fi;
#else
     if :: count(open_of(told[e])) + 1 <= BUDGET -> phase[e] = granted :: else -> phase[e] = refused fi;
#endif
     yes[e] = 0; told[e] = 0; again[e] = false;
     granted_sum()
  :: else
  fi
}

proctype edge(byte e) {
  byte s, g, j;
end_edge:
  do
  :: atomic { phase[e] == asking ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: has_bit(group(edge_map[e]), s) && !has_bit(yes[e], s) && of_map(s, edge_map[e]) &&
          state[s] != unready -> reserve(e, s)
       :: else
       fi;
       s = 0 }
  /* a later map is heard of: asked anew */
  :: atomic { phase[e] == asking && edge_map[e] < newest -> edge_map[e]++; yes[e] = 0; told[e] = 0; again[e] = false }
  :: atomic { MEND_COUNT && phase[e] == asking && !again[e] && count(yes[e]) == 2 ->
       again[e] = true; yes[e] = 0; told[e] = 0 }
  /* refused, or granted and not run */
  :: atomic { GIVE_BACK && phase[e] == granted -> phase[e] = refused }
  /* settled with 0: a word that may come to any of them, or not */
  :: atomic { GIVE_BACK && phase[e] == refused ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       has[s] = (has[s] | settled(e)) & ~reserved(e);
       s = 0 }
  od
}

/* --- Maps: StorageMapPlanner::plan, StoragePlane::on_value, StateTransfer ------------------------------------- */

/* One that is in the map with this disk */
#define named(s, m) (has_bit(in_map[m], s) && has_bit(second[m], s) == disk[s])
#define others(s) (in_map[map[s]] & ~bit_(s))

#ifdef PLANT_OWN_LOSS
#define OWN_LOSS_LEFT_OUT 1
#else
#define OWN_LOSS_LEFT_OUT 0
#endif

inline start_over(s, all_needed) {
  heard[s] = 0; may_miss[s] = (all_needed -> 0 : 1); state[s] = unready
}

#ifdef PLANT_TAKEN_BY_ANY_MAP
#define taken_by(s, n) (taken[s] != 0)
#else
#define taken_by(s, n) (taken[s] == (n))
#endif

inline map_came(s) {
  b = map[s];
  n = newest;
  if
  :: STALE ->
     n = (KEEP_MAP && seen[s] > b + 1 -> seen[s] : b + 1);
     do :: n < newest -> n++ :: break od
  :: !STALE
  fi;
  went_on = b > 0 && state[s] == whole && named(s, b) && n == b + 1;
  lost_some = b > 0 && (in_map[b] & ~in_map[n]) != 0;
  map[s] = n;
  if
  :: KEEP_TAKEN && b == 0 && taken_by(s, n) && named(s, n) -> state[s] = whole; held[s] = true; went_on = true; lost_some = false
  :: else
  fi;
  seen[s] = n;
  taken[s] = (went_on && !lost_some -> n : 0);
  if
  :: went_on && !lost_some
  :: !(went_on && !lost_some) && !named(s, n) -> heard[s] = 0; may_miss[s] = 0; state[s] = unready
  :: !(went_on && !lost_some) && named(s, n) ->
     start_over(s, (lost_some || (b > 0 && !went_on) ||
       (has_bit(marked[n], s) && !held[s] && !OWN_LOSS_LEFT_OUT) ||
       (MEND_TAKEOVER && marked[n] != 0)))  /* nobody may be left out beside a lost disk */
  fi;
#ifdef PLANT_EARLY
  if :: named(s, n) && state[s] == unready -> state[s] = ready :: else fi;
#endif
  n = 0; b = 0; went_on = false; lost_some = false
}

/* One that has another map answers nothing. Where nobody hears of an older map than it had, the wider
 * condition is checked. */
#define pulls_from(s, t) (STALE -> (map[t] == map[s]) : (map[t] >= map[s]))

/* make_pull_reply, StateTransfer::on_reply, ReplicaStore::merge_account: what is the asker's by the map of the one that is asked */
inline pull(s, t) {
  if
  :: MEND_TAKEOVER && !named(t, map[t]) -> skip  /* a disk that no map names yet is no source */
  :: else -> heard[s] = heard[s] | bit_(t)
  fi;
  if
  :: has_bit(group(map[t]), s) ->
     has[s] = (has[s] | has[t]) & ~((has[s] | has[t]) >> 4)
  :: else
  fi
}

/* A second disk goes only once the first one's place has taken over, or is given up and made up for. */
#define recovered(s) (!has_bit(in_map[newest], s) || (map[s] == newest && state[s] == whole && named(s, newest)))
#define all_recovered (recovered(0) && recovered(1) && recovered(2) && recovered(3))

#define left_out(s) ((SILENT || losses == 0 || all_recovered) -> may_miss[s] : 0)

proctype storage(byte s) {
  byte t, n, b;
  bool went_on, lost_some;
end_storage:
  do
  :: atomic { map[s] < newest -> map_came(s) }
  :: atomic { map[s] > 0 && state[s] == unready && named(s, map[s]) ->
       if :: t = 0 :: t = 1 :: t = 2 :: t = 3 fi;
       if
       :: has_bit(others(s), t) && !has_bit(heard[s], t) && pulls_from(s, t) -> pull(s, t)
       :: else
       fi;
       t = 0 }
  /* look_ready(): those that are silent for long are left out, as many as may be */
  :: atomic { map[s] > 0 && state[s] == unready && named(s, map[s]) &&
       count(others(s) & ~heard[s]) <= left_out(s) -> state[s] = ready; heard[s] = 0; may_miss[s] = 0 }
  :: atomic { state[s] == ready -> state[s] = whole; held[s] = true }
  :: atomic { KEEP_TAKEN && state[s] == whole && taken[s] != map[s] -> taken[s] = map[s] }
  /* killed and begun again with its disk */
  :: atomic { restarts < RESTARTS && map[s] > 0 && named(s, map[s]) -> restarts++;
       map[s] = 0; state[s] = unready; heard[s] = 0; may_miss[s] = 0 }
  od
}

/* --- The roster, and what is lost ------------------------------------------------------------------ */

#define renamed(s) (has_bit(in_map[newest], s) && has_bit(second[newest], s) != disk[s])
proctype roster() {
  byte s, m, d, k;
end_roster:
  do
  :: atomic { newest < MAPS ->
       m = in_map[newest]; d = second[newest]; k = marked[newest];
       /* who has another disk is renamed; more than one change may go into one map */
       s = 0;
       do
       :: s < 4 ->
          if
          :: renamed(s) -> d = d ^ bit_(s); k = k | bit_(s)
          :: renamed(s)
          :: !renamed(s)
          fi;
          s++
       :: else -> break
       od;
       /* one that is not in it comes in; one that is silent is given up while three others stay */
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 :: s = 4 fi;
       if
       :: s < 4 && !has_bit(m, s) && (NEWCOMER || s != 3) ->
          m = m | bit_(s); d = (d & ~bit_(s)) | (disk[s] << s); k = k & ~bit_(s)
       :: s < 4 && has_bit(m, s) && count(m) == 4 && DROPS ->
          m = m & ~bit_(s); d = d & ~bit_(s); k = k & ~bit_(s)
       :: else
       fi;
       if
       :: m != in_map[newest] || d != second[newest] || k != marked[newest] ->
          newest++; in_map[newest] = m; second[newest] = d; marked[newest] = k
       :: else
       fi;
       s = 0; m = 0; d = 0; k = 0 }
  :: atomic { losses < LOSSES && (losses == 0 || all_recovered) ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: disk[s] == 0 && has_bit(in_map[newest], s) -> losses++; disk[s] = 1; has[s] = 0; held[s] = false;
          taken[s] = 0; seen[s] = 0;
          map[s] = 0; state[s] = unready; heard[s] = 0; may_miss[s] = 0
       :: else
       fi;
       s = 0 }
  od
}

init { atomic {
  if :: near = false :: near = NEWCOMER fi;
  in_map[1] = 7;
  map[0] = 1; map[1] = 1; map[2] = 1;
  state[0] = whole; state[1] = whole; state[2] = whole;
  held[0] = true; held[1] = true; held[2] = true;
  taken[0] = 1; taken[1] = 1; taken[2] = 1;
  seen[0] = 1; seen[1] = 1; seen[2] = 1;
  run edge(0); run edge(1);
#if EDGES > 2
  run edge(2);
#endif
  run storage(0); run storage(1); run storage(2); run storage(3);
  run roster()
} }
