/* Operators' orders over the register, for spin: several operators, each of whom sends his order again, to any
 * control machine, while the first try may still be under way. README.md says which function each step stands
 * for. Checked for every order of steps:
 *
 *  - an order that was refused is never chosen, by none of its tries, neither before nor later;
 *  - an order that was acknowledged is chosen, and never refused;
 *  - of two orders on one base, or of one number, at most one is acknowledged;
 *  - what was chosen stays in all that is chosen later.
 *
 * Three acceptors that keep their disks, one epoch: register.pml has epochs and lost disks. A proposer may stop
 * at any point (no fairness), an Accept stays on its way for good, and a try may begin at any time, also after
 * another try of the same order was answered.
 *
 * Orders, each a base and a number: A and B are 0 to 1 with different bodies; C is 1 to 2, and may be sent before
 * its base is current; D is 0 to 2 with the body of C.
 */
#ifndef TRIES /* the orders of the tries, four at most */
#define TRIES A, A, B, B
#endif
#ifndef COUNT
#define COUNT 4
#endif
#ifndef ROUNDS /* ballots of each try */
#define ROUNDS 1
#endif
#ifndef REMEMBERED /* configurations in the record of what was taken; 2 is all of them here */
#define REMEMBERED 2
#endif
#define BALLOTS (COUNT * ROUNDS)

/* A value is the set of orders that it was made of. */
#define A 1
#define B 2
#define C 4
#define D 8
#define nothing_sent 255
#define base_of(o) ((o) == C -> 1 : 0)
#define number_of(o) (((o) == A || (o) == B) -> 1 : 2)
#define current(v) (((v) & (C | D)) -> 2 : (((v) & (A | B)) -> 1 : 0))

/* --- judge() ---------------------------------------------------------------------------------------- */

/* A record of one entry tells of what came after the entry before it, and of nothing earlier. */
#define covered(o, v) (REMEMBERED >= 2 || number_of(o) == 2 || ((v) & C) == 0)
#ifdef PLANT_BODY_ALONE
#define same_body(o) (((o) == C || (o) == D) -> (C | D) : (o))
#else
#define same_body(o) (o)
#endif
#define known(o, v) (covered(o, v) && ((v) & same_body(o)))
#define applicable(o, v) (!known(o, v) && base_of(o) == current(v))
#ifdef PLANT_FORGOTTEN_IS_REFUSED
#define forgotten(o, v) false
#else
#define forgotten(o, v) (!covered(o, v))
#endif
#ifdef PLANT_BASE_AHEAD_IS_REFUSED
#define ahead(o, v) false
#else
#define ahead(o, v) (base_of(o) > current(v))
#endif
#define unclear(o, v) (!known(o, v) && (forgotten(o, v) || ahead(o, v)))

/* --- acceptors, tries --------------------------------------------------------------------------------- */

mtype = { idle, looking, preparing, accepting, over };
byte promised[3], accepted[3], val[3];
byte sent[BALLOTS + 1] = nothing_sent;
byte took[BALLOTS + 1];  /* acceptors that have ever accepted it */

mtype phase[COUNT] = idle;
byte order[4];
bool looked[COUNT];
byte ballot[COUNT], got[COUNT], newest[COUNT], alike[COUNT], found[COUNT];

byte acknowledged = 0, refused = 0;
byte chosen = 0;  /* the longest value that was chosen */

#define majority(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)
#define forget(t) got[t] = 0; newest[t] = 0; alike[t] = 0; found[t] = 0

inline is_chosen(v) {
  assert(((v) & chosen) == (v) || ((v) & chosen) == chosen);
  chosen = chosen | (v);
  assert((refused & chosen) == 0)
}

inline answer(t, v) {
  if
  :: known(order[t], v) ->
     acknowledged = acknowledged | order[t];
     assert(chosen & order[t]);
     assert((acknowledged & (A | B)) != (A | B));
     assert((acknowledged & D) == 0 || acknowledged == D)
  :: unclear(order[t], v)
  :: else ->
     refused = refused | order[t];
     assert((chosen & order[t]) == 0)
  fi;
  assert((acknowledged & refused) == 0);
  phase[t] = over; forget(t)
}

inline heard(t, a) {
  got[t] = got[t] | (1 << a);
  if
  :: got[t] == (1 << a) || accepted[a] > newest[t] -> newest[t] = accepted[a]; found[t] = val[a]; alike[t] = 1
  :: got[t] != (1 << a) && accepted[a] == newest[t] -> alike[t]++
  :: else
  fi
}

inline propose(t, v) {
  sent[ballot[t]] = v; phase[t] = accepting; forget(t)
}

/* Register::propose_next_value(): of the value that its own round has found */
inline decide(t) {
  if
  :: applicable(order[t], found[t]) -> propose(t, found[t] | order[t])
  :: else -> propose(t, found[t])
  fi
}

#ifdef PLANT_LOOK_AT_ONE
#define quiet(t) (alike[t] >= 1)
#else
#define quiet(t) (alike[t] >= 2)
#endif

/* Register::on_promise() */
inline meet(t, a) {
  if
  :: phase[t] == looking && !(got[t] & (1 << a)) ->
     heard(t, a);
     if
     :: majority(got[t]) && quiet(t) && !applicable(order[t], found[t]) -> answer(t, found[t])
     :: majority(got[t]) && quiet(t) && applicable(order[t], found[t]) -> phase[t] = idle; forget(t)
     :: got[t] == 7 && !quiet(t) -> phase[t] = idle; forget(t)
     :: else
     fi
  :: phase[t] == preparing && !(got[t] & (1 << a)) && promised[a] < ballot[t] ->
     promised[a] = ballot[t];
     heard(t, a);
     if :: majority(got[t]) -> decide(t) :: else fi
  :: else
  fi
}

#define next_ballot(t) (ballot[t] == 0 -> (t) + 1 : ballot[t] + COUNT)
#define may_begin(t) (phase[t] != over && next_ballot(t) <= BALLOTS)

proctype try(byte t) {
  byte a;
end_try:
  do
  :: atomic { phase[t] == idle && !looked[t] -> looked[t] = true; phase[t] = looking }
  /* At any time: what was sent of the ballot before stays on its way. */
  :: atomic { may_begin(t) -> ballot[t] = next_ballot(t); phase[t] = preparing; looked[t] = true; forget(t) }
  :: atomic { phase[t] == looking || phase[t] == preparing ->
       if :: a = 0 :: a = 1 :: a = 2 fi;
       meet(t, a); a = 0 }
  :: atomic { phase[t] == accepting && majority(took[ballot[t]]) -> answer(t, sent[ballot[t]]) }
  od
}

/* AcceptorState::accept(): any Accept at any acceptor, at any time or never */
#define may_take(a, b) (sent[b] != nothing_sent && promised[a] <= (b) && accepted[a] != (b))
proctype network() {
  byte a, b;
end_network:
  do
  :: atomic {
       if :: a = 0 :: a = 1 :: a = 2 fi;
       b = 1;
       do :: b < BALLOTS -> b++ :: break od;
       if
       :: may_take(a, b) ->
          promised[a] = b; accepted[a] = b; val[a] = sent[b]; took[b] = took[b] | (1 << a);
          if :: majority(took[b]) -> is_chosen(val[a]) :: else fi
       :: else
       fi;
       a = 0; b = 0 }
  od
}

byte the_tries[4] = { TRIES };
init { atomic {
  byte t = 0;
  do
  :: t < COUNT -> order[t] = the_tries[t]; run try(t); t++
  :: else -> break
  od;
  t = 0;
  run network()
} }
