/* The register of control state, for spin: acceptors, proposers, epochs, lost disks. README.md says which
 * function each step stands for. Checked for every order of steps:
 *
 *  - of two changes that expect the same version at most one is ever chosen;
 *  - a change that was answered as refused is never chosen;
 *  - what was chosen once is in every value that is chosen later, in its epoch and in all that follow;
 *  - an epoch begins with one value;
 *  - after a loss that is borne, a majority of the set in force can vote.
 *
 * Three acceptors of the first epoch at addresses 0 to 2 and a spare at 3. Proposers 0 and 1 have a change each,
 * proposer 2 keeps the set. An Accept that was sent stays on its way: it may come at any time, or never. A
 * promise whose answer is lost, or that comes late, only keeps its acceptor from taking more: it is left out.
 */
#ifndef ROUNDS /* ballots of proposers 0 and 1; a ballot is a round and a proposer, rounds may be left out */
#define ROUNDS 2
#endif
#ifndef SET_ROUNDS /* and of the one that keeps the set */
#define SET_ROUNDS 1
#endif
#ifndef LOSSES /* disks, one after the other */
#define LOSSES 1
#endif
#ifndef SUSPECT /* an acceptor that is only silent may lose its place too */
#define SUSPECT 1
#endif
#ifndef LOOK /* the first try only looks */
#define LOOK 1
#endif
#ifndef LATE_START /* the acceptor at address 2 opens for the first time at any moment */
#define LATE_START 0
#endif
#define BALLOTS 6

/* An acceptor is an address and a disk, the first or the second there: a bit of a set.
 * A value: the change it holds (0: none), the set, the next set where it is sealed. */
#define member(a, d) (1 << (2 * (a) + (d)))
#define there(a) member(a, disk[a])
#define at(a) (3 << (2 * (a)))
#define value(change, set, next) ((change) | ((set) << 2) | ((next) << 10))
#define change_of(v) ((v) & 3)
#define set_of(v) (((v) >> 2) & 255)
#define next_of(v) ((v) >> 10)
#define opened(v) value(change_of(v), next_of(v), 0)
#define first_value value(0, member(0, 0) | member(1, 0) | member(2, 0), 0)
#define rank(e, b) ((e) * 10 + (b))

mtype = { idle, looking, preparing, accepting, over };

/* Acceptors, by address: what is on their disks */
byte disk[4];
bool opened_late = !LATE_START; /* the acceptor at address 2 is there */
#define is_open(a) ((a) != 2 || opened_late)
byte epoch[4], promised[4], accepted[4];
int val[4], initial[4];

/* Proposers */
mtype phase[3] = idle;
bool looked[3];
byte ballot[3], p_epoch[3] = 1;
int p_initial[3] = first_value;
byte got[3];    /* addresses that have said yes */
byte yes[3];    /* how many */
byte newest[3]; /* newest ballot of what they had accepted */
byte alike[3];  /* how many had that */
int found[3];   /* its value */

/* Accepts on their way */
int sent[BALLOTS + 1];
byte sent_epoch[BALLOTS + 1];

/* What was chosen: for the assertions, and for when a second disk may go */
byte taken = 0;         /* the change that was chosen */
byte refused = 0;       /* changes that were answered as refused */
byte rank_with = 255;   /* epoch and ballot of the first value with it */
byte in_force = 1;      /* newest epoch whose beginning is chosen */
int begun[5];           /* what epochs begin with */
byte losses = 0;
byte lost = 0;

inline is_chosen(e, b, v) {
  assert(change_of(v) == 0 || taken == 0 || taken == change_of(v));
  assert((refused & change_of(v)) == 0);
  if
  :: change_of(v) != 0 ->
     taken = change_of(v);
     if :: rank(e, b) < rank_with -> rank_with = rank(e, b) :: else fi
  :: else -> assert(rank(e, b) < rank_with)
  fi;
  if
  :: next_of(v) != 0 ->
     assert(begun[e + 1] == 0 || begun[e + 1] == opened(v));
     begun[e + 1] = opened(v);
     if :: e + 1 > in_force -> in_force = e + 1 :: else fi
  :: else
  fi
}

/* --- Proposers: Register ------------------------------------------------------------------------ */

inline forget(p) { got[p] = 0; yes[p] = 0; newest[p] = 0; alike[p] = 0; found[p] = 0 }

/* observe_epoch(), and start_attempt() in it */
inline go_on_in(p, e, v) { p_epoch[p] = e; p_initial[p] = v; phase[p] = idle; forget(p) }

inline finish(p, v) {
  if
  :: p == 2
  :: p != 2 && change_of(v) == p + 1 -> assert(taken == p + 1)
  :: p != 2 && change_of(v) != p + 1 -> assert(taken != p + 1); refused = refused | (p + 1)
  fi;
  phase[p] = over; forget(p)
}

#ifdef PLANT_NOT_SEALED
#define next_initial(p, v) value(change_of(p_initial[p]), next_of(v), 0)
#else
#define next_initial(p, v) opened(v)
#endif

/* chosen(), where the answers have come */
inline counted(p, e, b, v) {
  if
  :: is_chosen(e, b, v);
     if :: next_of(v) != 0 -> go_on_in(p, e + 1, next_initial(p, v)) :: else -> finish(p, v) fi
  :: phase[p] = idle; forget(p)
  fi
}

/* --- Acceptors: AcceptorState ------------------------------------------------------------------ */

#ifdef PLANT_OLD_SET
#define of_epoch(a, e) (epoch[a] >= (e) && (e) > 0)
#else
#define of_epoch(a, e) (epoch[a] == (e))
#endif
#ifdef PLANT_FORGET_PROMISE
#define may_take(a, b) (of_epoch(a, sent_epoch[b]) && accepted[a] < (b))
#else
#define may_take(a, b) (of_epoch(a, sent_epoch[b]) && promised[a] <= (b) && accepted[a] != (b))
#endif
#define holds(a, e, b) (epoch[a] == (e) && accepted[a] == (b) && (set_of(initial[a]) & there(a)))

/* accept(). Chosen is what two places hold, whether anybody has counted it or not. */
inline accept(a, b) {
  promised[a] = b; accepted[a] = b; val[a] = sent[b];
  if
  :: holds(0, sent_epoch[b], b) + holds(1, sent_epoch[b], b) + holds(2, sent_epoch[b], b) +
     holds(3, sent_epoch[b], b) >= 2 -> is_chosen(sent_epoch[b], b, sent[b])
  :: else
  fi;
  q = (b - 1) % 3;
  if
  :: ballot[q] == b && phase[q] == accepting ->
     yes[q]++;
     if :: yes[q] == 2 -> counted(q, sent_epoch[b], b, sent[b]) :: else fi
  :: else
  fi;
  q = 0
}

/* What nobody can take any more is as good as never sent. */
#define gone_at(a, b) (epoch[a] > sent_epoch[b] || (epoch[a] == sent_epoch[b] && promised[a] > b))
inline tidy() {
  skip;
#ifndef PLANT_OLD_SET
#ifndef PLANT_FORGET_PROMISE
#ifndef PLANT_SAME_NAME
  d_step {
  q = 1;
  do
  :: q <= BALLOTS ->
     if
     :: sent[q] != 0 && (ballot[(q - 1) % 3] != q || phase[(q - 1) % 3] != accepting) &&
        gone_at(0, q) && gone_at(1, q) && gone_at(2, q) && gone_at(3, q) ->
        sent[q] = 0; sent_epoch[q] = 0
     :: else
     fi;
     q++
  :: else -> break
  od;
  q = 0
  }
#endif
#endif
#endif
}

inline enter(a, e, v) {
  epoch[a] = e; promised[a] = 0; accepted[a] = 0; val[a] = v; initial[a] = v
}

/* on_promise(): a yes */
inline heard(p, a) {
  got[p] = got[p] | (1 << a); yes[p]++;
  if
  :: found[p] == 0 || accepted[a] > newest[p] -> newest[p] = accepted[a]; found[p] = val[a]; alike[p] = 1
  :: found[p] != 0 && accepted[a] == newest[p] -> alike[p]++
  :: else
  fi
}

inline propose(p, v) {
  sent[ballot[p]] = v; sent_epoch[ballot[p]] = p_epoch[p];
  phase[p] = accepting; forget(p)
}

#ifdef PLANT_OVER_SEAL
#define is_sealed(v) false
#else
#define is_sealed(v) (next_of(v) != 0)
#endif

/* AcceptorSetPlanner::plan(): a free one takes the place of another whose disk is lost, or that only is silent. No
 * address gets two places. */
#define may_replace(v, a, d, by) ((set_of(v) & member(a, d)) && (SUSPECT || disk[a] != (d)) && \
  ((by) == (a) -> disk[a] != (d) : (set_of(v) & at(by)) == 0))
/* NamedAcceptorSet: each member of the next set is named with its disk. The one at address 2 has none before it has
 * opened, so only its own place may change by then. Planted: it is carried over without a disk, which makes it a
 * member that nobody is, of whom a majority is counted all the same. */
#ifdef PLANT_UNNAMED_MEMBER
#define may_name(v, k) true
#define no_one(k) (at(2) * (!opened_late && (k) != 2))
#else
#define may_name(v, k) (opened_late || (k) == 2 || (set_of(v) & at(2)) == 0)
#define no_one(k) 0
#endif
inline any_address(x) { if :: x = 0 :: x = 1 :: x = 2 :: x = 3 fi }

/* decide(): of the value that its own round has found */
inline decide(p) {
  if
  :: p == 2 || is_sealed(found[p]) || change_of(found[p]) != 0 -> propose(p, found[p])
  :: p != 2 && !is_sealed(found[p]) && change_of(found[p]) == 0 ->
     propose(p, value(p + 1, set_of(found[p]), 0))
  :: p == 2 && !is_sealed(found[p]) ->
     any_address(k); any_address(by);
     if :: d = 0 :: d = 1 fi;
     if
     :: may_replace(found[p], k, d, by) && may_name(found[p], k) && is_open(by) ->
        propose(p, value(change_of(found[p]), set_of(found[p]), (set_of(found[p]) & ~(member(k, d) | no_one(k))) | there(by)))
     :: else -> propose(p, found[p])
     fi;
     k = 0; d = 0; by = 0
  fi
}

/* An address is asked; whichever disk is there answers. */
#define asks(a) ((set_of(p_initial[p]) & at(a)) && !(got[p] & (1 << a)))

#define may_meet(p, a) (is_open(a) && may_speak(p, a))
#define may_speak(p, a) ((phase[p] == preparing && asks(a) && of_epoch(a, p_epoch[p]) && promised[a] < ballot[p]) || \
  (phase[p] == looking && asks(a) && of_epoch(a, p_epoch[p])) || (epoch[a] > p_epoch[p] && !of_epoch(a, p_epoch[p])) || \
  (epoch[a] < p_epoch[p] && (set_of(p_initial[p]) & there(a))))

/* One address, and what it and this proposer may have to say to each other. */
inline meet(p, a) {
  if
  :: phase[p] == preparing && asks(a) && of_epoch(a, p_epoch[p]) && promised[a] < ballot[p] ->
     promised[a] = ballot[p]; heard(p, a);
     if :: yes[p] == 2 -> decide(p) :: else fi
  :: phase[p] == looking && asks(a) && of_epoch(a, p_epoch[p]) ->
     heard(p, a);
     if
     :: alike[p] >= 2 && next_of(found[p]) == 0 && change_of(found[p]) != 0 ->
        is_chosen(p_epoch[p], newest[p], found[p]); finish(p, found[p])
     :: yes[p] == 3 || (alike[p] >= 2 && (next_of(found[p]) != 0 || change_of(found[p]) == 0)) ->
        phase[p] = idle; forget(p)
     :: else
     fi
  /* it is in a later epoch, and says so; or is told of one that names it */
  :: epoch[a] > p_epoch[p] && !of_epoch(a, p_epoch[p]) -> go_on_in(p, epoch[a], initial[a])
  :: epoch[a] < p_epoch[p] && (set_of(p_initial[p]) & there(a)) -> enter(a, p_epoch[p], p_initial[p])
  :: else
  fi
}

#define may_begin(p, r) ((r) < (p == 2 -> SET_ROUNDS : ROUNDS) && (r) * 3 + p + 1 > ballot[p])

proctype proposer(byte p) {
  byte q, a, k, d, by;
end_proposer:
  do
  :: atomic { LOOK && phase[p] == idle && !looked[p] && p != 2 -> looked[p] = true; phase[p] = looking }
  /* At any time: the ballot before is given up, what was sent of it stays on its way. */
  :: atomic { phase[p] != over && (may_begin(p, 0) || may_begin(p, 1)) ->
       if :: may_begin(p, 0) -> ballot[p] = p + 1 :: may_begin(p, 1) -> ballot[p] = 3 + p + 1 fi;
       phase[p] = preparing; looked[p] = true; forget(p); tidy() }
  :: atomic { phase[p] != over -> any_address(a);
       if :: may_meet(p, a) -> meet(p, a); tidy() :: else fi;
       a = 0 }
  od
}

/* --- What comes at any time, and what is lost ----------------------------------------------------- */

/* A second disk goes only once the set without the first is in force, and a majority of it has entered. */
#define entered(a) (epoch[a] >= in_force && (set_of(begun[in_force]) & there(a)))
#define may_lose(a) (losses < LOSSES && disk[a] == 0 && (losses == 0 || \
  ((set_of(begun[in_force]) & lost) == 0 && entered(0) + entered(1) + entered(2) + entered(3) >= 2)))
#define may_vote(e) (((begun[e] >> 2) & there(0)) != 0) + (((begun[e] >> 2) & there(1)) != 0) + \
  (((begun[e] >> 2) & there(2)) != 0) + (((begun[e] >> 2) & there(3)) != 0)
inline lose(a) {
  losses++; lost = there(a);
#ifndef PLANT_SAME_NAME
  disk[a]++;
#endif
  epoch[a] = 0; promised[a] = 0; accepted[a] = 0; val[a] = 0; initial[a] = 0;
  /* A set of three bears one loss: two can vote, whatever was planned before they opened. */
  assert(may_vote(in_force) >= 2)
}

proctype world() {
  byte q, a, b;
end_world:
  do
  :: atomic { !opened_late -> opened_late = true; enter(2, 1, first_value) }
  /* The first three are alike, unless one opens late: where one goes in the first epoch it is the third. */
  :: atomic { losses < LOSSES -> any_address(a);
       if :: may_lose(a) && is_open(a) && (a == 2 || in_force > 1 || LATE_START) -> lose(a); tidy() :: else fi;
       a = 0 }
  :: atomic { any_address(a);
       if
       :: sent[1] != 0 -> b = 1 :: sent[2] != 0 -> b = 2 :: sent[3] != 0 -> b = 3
       :: sent[4] != 0 -> b = 4 :: sent[5] != 0 -> b = 5 :: sent[6] != 0 -> b = 6
       :: else
       fi;
       if :: sent[b] != 0 && is_open(a) && may_take(a, b) -> accept(a, b); tidy() :: else fi;
       a = 0; b = 0 }
  od
}

init { atomic {
  begun[1] = first_value;
  enter(0, 1, first_value); enter(1, 1, first_value);
  if :: opened_late -> enter(2, 1, first_value) :: else fi;
  run proposer(0); run proposer(1); run proposer(2); run world()
} }
