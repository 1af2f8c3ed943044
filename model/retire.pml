/* A turn at its group of storage nodes while machines are emptied, for spin: an edge that keeps it, maps that
 * change, an order to empty a machine (or its SIGTERM), disks that are lost at any moment, and the take-over.
 * README.md says which function each step stands for. Checked for every order of steps:
 *
 *  - once the edge was told that the turn is kept, a machine that still counts has it on disk.
 *
 * Four storage nodes, one loss borne: the group is the nearest three of those that stay. LEAVES machines are
 * emptied, one after the other, and are gone with their disks as soon as no map names them. LOSSES disks are lost,
 * each once the one before is made up for: its machine is whole again with its new disk or, where it was leaving,
 * the others have taken over. Emptying is no loss: a disk may go at any moment of it, and right after it. TAKE_BACKS:
 * a machine that got SIGTERM and is started again stays after all, and has to take over what was kept meanwhile.
 */
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef LEAVES
#define LEAVES 1
#endif
#ifndef TAKE_BACKS /* how often the mark of a machine that leaves is taken back before it is emptied */
#define TAKE_BACKS 0
#endif
#ifndef MAPS /* the first one counted */
#define MAPS 5
#endif

#ifndef KEEPING /* whether the edge is at it; else any two of the group have the turn at the start */
#define KEEPING 1
#endif

#define NODES 4
#define NOBODY 4
#define bit_(s) (1 << (s))
#define has_bit(mask, s) (((mask) >> (s)) & 1)
#define count(mask) (has_bit(mask, 0) + has_bit(mask, 1) + has_bit(mask, 2) + has_bit(mask, 3))

/* Maps, by number: who is in, who leaves, and whose second disk it names */
byte newest = 1;
byte in_map[MAPS + 1], leaving[MAPS + 1], second[MAPS + 1];

/* storage::group_of: the nearest three of those that stay */
#define staying(m) (in_map[m] & ~leaving[m])
#define group(m) ((count(staying(m)) == 4) -> 7 : staying(m))

/* Storage nodes: StoragePlane. `next`: whom it asks next in its take-over, one after the other. */
byte map[NODES], next[NODES];
bool second_disk[NODES], whole[NODES], copy[NODES], gone[NODES];

byte losses = 0, leaves = 0, take_backs = 0;
byte pending = NOBODY; /* the machine whose loss is not made up for */

/* The edge: StorageClient::store_turn */
byte edge_map = 1, yes = 0;
bool kept = false;

#define named(s, m) (has_bit(in_map[m], s) && has_bit(second[m], s) == second_disk[s])
#define taking_over(s) (!gone[s] && map[s] > 0 && !whole[s] && named(s, map[s]))

inline check_kept() {
  assert(!kept || copy[0] || copy[1] || copy[2] || copy[3])
}

inline go(s) {
  gone[s] = true; copy[s] = false; whole[s] = false; map[s] = 0; next[s] = 0;
  check_kept()
}

proctype edge() {
  byte s;
end_edge:
  do
  :: atomic { !kept ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: has_bit(group(edge_map), s) && !has_bit(yes, s) && !gone[s] && map[s] == edge_map ->
          copy[s] = true;
          yes = yes | bit_(s);
          if :: count(yes) >= 2 -> kept = true; yes = 0; edge_map = 0 :: else fi
       :: else
       fi;
       s = 0;
       check_kept() }
#ifdef PLANT_MIXED_MAPS
  :: atomic { !kept && edge_map < newest -> edge_map++ }
#else
  :: atomic { !kept && edge_map < newest -> edge_map++; yes = 0 }
#endif
  od
}

/* The next one from `t` on that is asked: neither itself nor one that the map has given up */
#define asked(s, t, m) ((t) != (s) && has_bit(in_map[m], t))
#define ask_from(s, t, m) \
  (((t) > 3 || asked(s, t, m)) -> (t) : (((t) > 2 || asked(s, (t) + 1, m)) -> (t) + 1 : \
   (((t) > 1 || asked(s, (t) + 2, m)) -> (t) + 2 : (((t) > 0 || asked(s, (t) + 3, m)) -> (t) + 3 : NODES))))
#define ask_first(s, m) next[s] = ask_from(s, 0, m)
#define ask_next(s) next[s] = ask_from(s, next[s] + 1, map[s])

/* may_gain_replicas(): it holds copies by the newest map, and did not before, or another one stops to hold them */
#ifdef PLANT_TAKEN_BACK_WHOLE
#define gains(s) ((staying(map[s]) & ~staying(newest)) != 0)
#else
#define gains(s) (has_bit(staying(newest), s) && \
  (!has_bit(staying(map[s]), s) || (staying(map[s]) & ~staying(newest)) != 0))
#endif

/* StoragePlane::on_value */
inline map_came(s) {
  if
  :: whole[s] && named(s, map[s]) && newest == map[s] + 1 && !gains(s) -> skip
  :: else -> whole[s] = false; ask_first(s, newest)
  fi;
  map[s] = newest
}

#ifdef PLANT_OLD_SOURCE
#define source_of(t, s) (map[t] > 0)
#else
#define source_of(t, s) (map[t] == map[s])
#endif
#ifdef PLANT_LEAVE_OUT
#define may_leave_out true
#else
#define may_leave_out false
#endif

proctype storage(byte s) {
end_storage:
  do
  :: atomic { !gone[s] && map[s] > 0 && map[s] < newest -> map_came(s) }
  :: atomic { !gone[s] && map[s] == 0 -> map[s] = newest; ask_first(s, newest) }
  /* ask, answer_pull, pulled: what is the asker's by the map of the one that is asked; who was given up is not */
  :: atomic { taking_over(s) && next[s] < NODES ->
       if
       :: !gone[next[s]] && source_of(next[s], s) && named(next[s], map[next[s]]) ->
          if :: copy[next[s]] && has_bit(group(map[next[s]]), s) -> copy[s] = true :: else fi;
          ask_next(s)
       :: may_leave_out -> ask_next(s)
       :: else
       fi }
  /* look_ready */
  :: atomic { taking_over(s) && next[s] == NODES ->
       whole[s] = true; next[s] = 0 }
  /* go_when_released: its machine goes with its disk */
  :: atomic { !gone[s] && !has_bit(in_map[newest], s) -> go(s) }
  od
}

#define up_to_date(s) (!has_bit(staying(newest), s) || (whole[s] && map[s] == newest && named(s, newest)))
#define all_up_to_date (up_to_date(0) && up_to_date(1) && up_to_date(2) && up_to_date(3))
#ifdef PLANT_EARLY
#define taken_over true
#else
#define taken_over all_up_to_date
#endif

/* `catchUpS` after the end of a trouble all that stay are whole */
#if TAKE_BACKS
#define made_up all_up_to_date
#else
#define made_up (!has_bit(in_map[newest], pending) || \
  (has_bit(staying(newest), pending) && whole[pending] && named(pending, map[pending])) || \
  (has_bit(leaving[newest], pending) && named(pending, newest) && all_up_to_date))
#endif

inline next_map() {
  in_map[newest + 1] = in_map[newest]; leaving[newest + 1] = leaving[newest]; second[newest + 1] = second[newest];
  newest++
}

/* StorageMapPlanner::plan(), and what is lost */
proctype roster() {
  byte s;
end_roster:
  do
  /* a member's new disk is named */
  :: atomic { newest < MAPS ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: !gone[s] && has_bit(in_map[newest], s) && has_bit(second[newest], s) != second_disk[s] ->
          next_map();
          second[newest] = second[newest] | bit_(s)
       :: else
       fi;
       s = 0 }
  /* Retire.Initiate, or the word of a machine that got SIGTERM: retire(), follow_its_end() */
  :: atomic { newest < MAPS && leaves < LEAVES && count(staying(newest)) == 4 ->
       if :: s = 0 :: s = 3 fi; /* the three of the group are alike */
       leaves++;
       next_map();
       leaving[newest] = leaving[newest] | bit_(s);
#ifdef PLANT_GOES_AT_ONCE
       go(s);
#endif
       s = 0 }
  /* update_draining(): a machine that got SIGTERM was started again before it was emptied */
  :: atomic { newest < MAPS && take_backs < TAKE_BACKS && leaving[newest] != 0 ->
       take_backs++;
       next_map();
       leaving[newest] = 0 }
  /* give_up_emptied */
  :: atomic { newest < MAPS && leaving[newest] != 0 && taken_over ->
       next_map();
       in_map[newest] = in_map[newest] & ~leaving[newest]; leaving[newest] = 0 }
  /* `catchUpS` is over for the lost one */
  :: atomic { pending != NOBODY && made_up -> pending = NOBODY }
  /* a disk is lost, and its machine begins again */
  :: atomic { losses < LOSSES && pending == NOBODY ->
       if :: s = 0 :: s = 1 :: s = 2 :: s = 3 fi;
       if
       :: !gone[s] && !second_disk[s] && has_bit(in_map[newest], s) ->
          losses++; pending = s;
          second_disk[s] = true; copy[s] = false; map[s] = 0; whole[s] = false; next[s] = 0;
          check_kept()
       :: else
       fi;
       s = 0 }
  od
}

init { atomic {
  in_map[1] = 15;
  map[0] = 1; map[1] = 1; map[2] = 1; map[3] = 1;
  whole[0] = true; whole[1] = true; whole[2] = true; whole[3] = true;
#ifdef START_LEAVING /* the nearest one leaves, and the turn was kept by the others meanwhile */
  leaving[1] = 1;
  if
  :: copy[1] = true; copy[2] = true
  :: copy[1] = true; copy[3] = true
  :: copy[2] = true; copy[3] = true
  fi;
  kept = true; edge_map = 0;
#elif KEEPING
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
  run roster()
} }
