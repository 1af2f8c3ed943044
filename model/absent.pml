/* A turn at its group of storage nodes while nodes stand still, come back, and one disk is lost at any moment, for spin:
 * losses overlap beyond the tolerance with no more disks lost than it allows. README.md says which function each step
 * stands for. Checked for every order of steps:
 *
 *  - once the turn is kept, an edge is never told by so many nodes that there is no such turn that it may believe it;
 *  - once everybody is back and nothing is left to do, more disks than may be lost have the turn, and no copy counts as
 *    missing: nobody rests for ever.
 *
 * Four storage nodes, one loss borne: a group is the nearest three of those in the map. Any node may be away at any time,
 * several at once; those that are away do nothing. DISKS disks are lost, each once the one before is made up for.
 */
#ifndef DISKS
#define DISKS 1
#endif
#ifndef MAPS /* the first one counted */
#define MAPS 5
#endif
#ifndef AWAYS /* how often a node goes away */
#define AWAYS 2
#endif
#ifndef KEEPING /* whether the edge is at it; else any two of the group have the turn at the start */
#define KEEPING 0
#endif

#define NODES 4
#define bit_(s) (1 << (s))
#define has_bit(mask, s) (((mask) >> (s)) & 1)
#define count(mask) (has_bit(mask, 0) + has_bit(mask, 1) + has_bit(mask, 2) + has_bit(mask, 3))

/* Maps, by number: who is in, whose second disk it names, whose lost disk is not made up for, who was given up while
 * silent, and who has come in and has not been whole since: common::StorageNode, Value::absent */
byte newest = 1;
byte in_map[MAPS + 1], second[MAPS + 1], lost[MAPS + 1], absent[MAPS + 1], joining[MAPS + 1];

/* storage::group_of */
#define group(m) ((count(in_map[m]) == 4) -> 7 : in_map[m])
/* common::copies_missing */
#define missing(m) (count(lost[m] & in_map[m]) + count(absent[m])) /* an absent one keeps its mark */

byte map[NODES], next[NODES], missed[NODES];
bool second_disk[NODES], whole[NODES], copy[NODES], away[NODES];
byte denied[MAPS + 1]; /* who has said, under that map and with the turn kept, that there is none */
byte disks = 0, aways = 0;
byte edge_map = 1, yes = 0;
bool kept = false;

#define named(s, m) (has_bit(in_map[m], s) && has_bit(second[m], s) == second_disk[s])
#define taking_over(s) (map[s] > 0 && !whole[s] && named(s, map[s]))
#define away_mask (away[0] + 2 * away[1] + 4 * away[2] + 8 * away[3])

/* StorageClient::on_find_reply */
inline check_denied(m) {
  assert(!(kept && count(denied[m]) + 1 >= count(in_map[m])))
}

/* One that has come in counts only once it has taken over: by then enough of the others have that map, too */
#ifdef PLANT_JOINER_KEEPS_AT_ONCE /* as it was */
#define may_keep(s) true
#else
#define may_keep(s) (!has_bit(joining[edge_map], s) || whole[s])
#endif

proctype edge() {
  byte s;
end_edge:
  do
  :: atomic { !kept ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: has_bit(group(edge_map), s) && !has_bit(yes, s) && !away[s] && map[s] == edge_map && may_keep(s) ->
          copy[s] = true;
          yes = yes | bit_(s);
          if :: count(yes) >= 2 -> kept = true; yes = 0; edge_map = 0 :: else fi
       :: else
       fi;
       s = 0 }
  :: atomic { !kept && edge_map < newest -> edge_map++; yes = 0 }
  od
}

#define asked(s, t, m) ((t) != (s) && has_bit(in_map[m], t))
#define ask_from(s, t, m) \
  (((t) > 3 || asked(s, t, m)) -> (t) : (((t) > 2 || asked(s, (t) + 1, m)) -> (t) + 1 : \
   (((t) > 1 || asked(s, (t) + 2, m)) -> (t) + 2 : (((t) > 0 || asked(s, (t) + 3, m)) -> (t) + 3 : NODES))))
#define ask_first(s, m) next[s] = ask_from(s, 0, m); missed[s] = 0
#define ask_next(s) next[s] = ask_from(s, next[s] + 1, map[s])

/* StoragePlane::value_came */
inline map_came(s) {
  if
  :: whole[s] && named(s, map[s]) && named(s, newest) && newest == map[s] + 1 && (in_map[map[s]] & ~in_map[newest]) == 0 -> skip
  :: else -> whole[s] = false; ask_first(s, newest)
  fi;
  map[s] = newest
}

#ifdef PLANT_COUNT_ONE_LOSS /* as it was: whatever is missing counts as one loss, and what was given up as none */
#define may_miss(m) (((lost[m] & in_map[m]) != 0) -> 0 : 1)
#else
#define may_miss(m) ((missing(m) > 0) -> 0 : 1)
#endif
#define may_end(m) (missing(m) <= 1)

proctype storage(byte s) {
end_storage:
  do
  :: atomic { !away[s] && map[s] < newest -> map_came(s) }
  /* ask, answer_pull, pulled */
  :: atomic { !away[s] && taking_over(s) && next[s] < NODES ->
       if
       :: !away[next[s]] && map[next[s]] == map[s] && named(next[s], map[s]) ->
          if :: copy[next[s]] && has_bit(group(map[s]), s) -> copy[s] = true :: else fi;
          ask_next(s)
       :: missed[s] < may_miss(map[s]) -> missed[s]++; ask_next(s)
       :: else
       fi }
  /* StateTransfer::is_enough, with max_skipped_sources_ below 0 where more is missing than may be lost */
#ifdef PLANT_COUNT_ONE_LOSS
  :: atomic { !away[s] && taking_over(s) && next[s] == NODES -> whole[s] = true; next[s] = 0; missed[s] = 0 }
#else
  :: atomic { !away[s] && taking_over(s) && next[s] == NODES && may_end(map[s]) ->
       whole[s] = true; next[s] = 0; missed[s] = 0 }
#endif
  /* verdict_on_missing */
  :: atomic { !away[s] && kept && whole[s] && !copy[s] && named(s, map[s]) && !has_bit(denied[map[s]], s) ->
       denied[map[s]] = denied[map[s]] | bit_(s);
       check_denied(map[s]) }
  od
}

#define up_to_date(s) (!has_bit(in_map[newest], s) || (!away[s] && whole[s] && map[s] == newest && named(s, newest)))
#define all_whole (up_to_date(0) && up_to_date(1) && up_to_date(2) && up_to_date(3))

inline next_map() {
  in_map[newest + 1] = in_map[newest]; second[newest + 1] = second[newest]; lost[newest + 1] = lost[newest];
  absent[newest + 1] = absent[newest]; joining[newest + 1] = joining[newest];
  newest++
}

/* A map that comes for another reason takes the marks of those who are whole along: clear_repaired() of the planner */
inline settle_joining() {
  if :: up_to_date(0) -> joining[newest] = joining[newest] & ~1 :: else fi;
  if :: up_to_date(1) -> joining[newest] = joining[newest] & ~2 :: else fi;
  if :: up_to_date(2) -> joining[newest] = joining[newest] & ~4 :: else fi;
  if :: up_to_date(3) -> joining[newest] = joining[newest] & ~8 :: else fi
}

#ifdef PLANT_DROP_ANYWAY /* as it was */
#define may_drop(s) true
#else
#define may_drop(s) (missing(newest) + count(away_mask & in_map[newest]) <= 1)
#endif

proctype roster() {
  byte s;
end_roster:
  do
  /* rename: a member's new disk is named */
  :: atomic { newest < MAPS ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: !away[s] && has_bit(in_map[newest], s) && has_bit(second[newest], s) != second_disk[s] ->
          next_map();
          second[newest] = second[newest] | bit_(s); lost[newest] = lost[newest] | bit_(s)
       :: else
       fi;
       s = 0 }
  /* remove_absent_nodes */
  :: atomic { newest < MAPS && count(in_map[newest]) == 4 ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: away[s] && has_bit(in_map[newest], s) && may_drop(s) ->
          next_map();
          in_map[newest] = in_map[newest] & ~bit_(s);
          joining[newest] = joining[newest] & ~bit_(s);
#ifndef PLANT_FORGET_ABSENT
          absent[newest] = absent[newest] | bit_(s)
#endif
       :: else
       fi;
       s = 0 }
  /* join */
  :: atomic { newest < MAPS && count(in_map[newest]) < 4 ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: !away[s] && !has_bit(in_map[newest], s) ->
          next_map();
          if
          :: has_bit(absent[newest], s) && has_bit(second[newest], s) != second_disk[s] ->
             lost[newest] = lost[newest] | bit_(s)
          :: else
          fi;
          in_map[newest] = in_map[newest] | bit_(s);
          if :: second_disk[s] -> second[newest] = second[newest] | bit_(s) :: else fi;
          absent[newest] = absent[newest] & ~bit_(s);
          joining[newest] = joining[newest] | bit_(s)
       :: else
       fi;
       s = 0 }
  /* settle: everybody is whole */
  :: atomic { newest < MAPS && missing(newest) > 0 && all_whole ->
       next_map(); lost[newest] = 0; absent[newest] = 0; joining[newest] = 0 }
  /* settle: a lost disk's own node is */
  :: atomic { newest < MAPS && lost[newest] != 0 && absent[newest] == 0 && !all_whole ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       settle_joining();
       if
       :: joining[newest] == 0 && has_bit(lost[newest], s) && up_to_date(s) ->
          next_map(); lost[newest] = lost[newest] & ~bit_(s)
#ifdef PLANT_SETTLE_AMID_JOINING
       :: joining[newest] != 0 && has_bit(lost[newest], s) && up_to_date(s) ->
          next_map(); lost[newest] = lost[newest] & ~bit_(s)
#endif
       :: else
       fi;
       s = 0 }
  od
}

/* What nodes suffer */
proctype world() {
  byte s;
end_world:
  do
  :: atomic { aways < AWAYS ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if :: !away[s] -> away[s] = true; aways++ :: else fi;
       s = 0 }
  :: atomic { away[0] || away[1] || away[2] || away[3] ->
       if
       :: away[0] -> away[0] = false :: away[1] -> away[1] = false
       :: away[2] -> away[2] = false :: away[3] -> away[3] = false
       fi }
  /* a disk is lost, and its machine begins again: whoever is away as well */
  :: atomic { disks < DISKS && (disks == 0 || missing(newest) == 0) ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: !second_disk[s] ->
          disks++;
          second_disk[s] = true; copy[s] = false; map[s] = 0; whole[s] = false; next[s] = 0; missed[s] = 0
       :: else
       fi;
       s = 0 }
  /* nothing is left to do, and maps were enough: everything is made up for */
  :: timeout -> assert(newest == MAPS || !kept || (missing(newest) == 0 && copy[0] + copy[1] + copy[2] + copy[3] >= 2)); break
  od
}

init { atomic {
  in_map[1] = 15;
  map[0] = 1; map[1] = 1; map[2] = 1; map[3] = 1;
  whole[0] = true; whole[1] = true; whole[2] = true; whole[3] = true;
#if KEEPING
  run edge();
#else
  if
  :: copy[0] = true; copy[1] = true
  :: copy[0] = true; copy[2] = true
  :: copy[1] = true; copy[2] = true
  fi;
  kept = true; edge_map = 0;
#endif
  run storage(0); run storage(1); run storage(2); run storage(3);
  run roster(); run world()
} }
