/* The duty `list` and who follows it, for spin: terms are kept in memory alone, voters are started anew, so two may
 * hold it at once, also in one term. README.md says which function each step stands for. Checked for every order
 * of steps:
 *
 *  - a list has one content: its holder's number of a term, its holder and its own number tell it from all others;
 *  - a receiver never goes back to a list that a holder told before the one that it has moved on to;
 *  - from every state, once all have heard of each other, whoever still has the duty is followed.
 *
 * Three control machines vote, a receiver follows one of them, any. A silence may take any time: whoever does not
 * have the duty may find it vacant. A control machine passes on the list that it has, whoever has read it.
 */
#ifndef TERMS
#define TERMS 2
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef READINGS
#define READINGS 3
#endif
#define N 3

/* make_fencing_token() */
#ifdef PLANT_TERM_ALONE
#define told_term(t, id) (t)
#define term_of(told) (told)
#else
#define told_term(t, id) ((t) * 8 + (id))
#define term_of(told) ((told) / 8)
#endif

byte id[N], term[N], voted[N];
bool mine[N];
bit standing[N];
byte standing_for[N], votes[N];
/* The list that it has: EndpointBook */
byte told[N], number[N], content[N];
byte followed[N];  /* the latest list that a receiver has told of here */
byte session;      /* the one control machine that the receiver follows */
byte r_told, r_number, r_content;

byte used = 0;       /* ids that were drawn, as a set */
byte restarts = 0;
byte readings = 0;   /* of the platform: what a list holds */

#define newer(t1, n1, t2, n2) ((t1) > (t2) || ((t1) == (t2) && (n1) > (n2)))
#define same_list(t1, n1, t2, n2) ((t1) == (t2) && (n1) == (n2))

/* Drawn by each process for itself, in any order: the two that are never started anew have 2 and 4. */
inline draw_id(k) {
  if
  :: !(used & 1) -> id[k] = 1 :: !(used & 2) -> id[k] = 3 :: !(used & 4) -> id[k] = 5
  fi;
  used = used | (1 << (id[k] / 2))
}

inline stand_down(k) { mine[k] = false }

/* LeaderElection::observe_fencing_token(): somebody follows a list that was told under this */
inline learn(k, t) {  /* t: a variable */
  if
#ifdef PLANT_LEARN_TERM_ALONE
  :: term_of(t) > term[k] -> term[k] = term_of(t); stand_down(k)
#else
  :: (t) != 0 && mine[k] && (t) > told_term(term[k], id[k]) ->
     if :: term_of(t) > term[k] -> term[k] = term_of(t) :: else fi;
     stand_down(k)
  :: (t) != 0 && !mine[k] && term_of(t) > term[k] -> term[k] = term_of(t)
#endif
  :: else
  fi
}

#ifdef PLANT_NOT_PASSED_ON
#define tells_of(k) told[k]
#else
#define tells_of(k) (followed[k] > told[k] -> followed[k] : told[k])
#endif

/* LeaderElection::on_heartbeat(), and of which list: j hears k */
inline hears(j, k) {
  if :: mine[j] -> h = tells_of(k); learn(j, h); h = 0 :: else fi;
  if
  :: mine[k] ->
     if :: mine[j] && term[k] >= term[j] -> stand_down(j) :: else fi;
     if :: term[k] >= term[j] -> term[j] = term[k] :: else fi
  :: else
  fi
}

/* EndpointBook::update(): the holder has read the platform */
inline reads(k) {
  readings++;
  if
  :: told_term(term[k], id[k]) > told[k] ->
     told[k] = told_term(term[k], id[k]); number[k] = 1; content[k] = readings
  :: told_term(term[k], id[k]) == told[k] -> number[k]++; content[k] = readings
  :: else -> h = told[k]; learn(k, h); h = 0
  fi
}

/* EndpointBook::apply() at another control machine, and at a receiver */
inline passes_on(k, j) {
  if :: mine[j] -> h = told[k]; learn(j, h); h = 0 :: else fi;
  if
  :: same_list(told[k], number[k], told[j], number[j]) -> assert(content[k] == content[j])
  :: newer(told[k], number[k], told[j], number[j]) ->
     told[j] = told[k]; number[j] = number[k]; content[j] = content[k]
  :: else
  fi
}
inline follows(k) {
  if
  :: same_list(told[k], number[k], r_told, r_number) -> assert(content[k] == r_content)
#ifdef PLANT_LAST_WORD
  :: told[k] != 0 && !same_list(told[k], number[k], r_told, r_number) ->
     assert(told[k] >= r_told);
#else
  :: newer(told[k], number[k], r_told, r_number) ->
#endif
     assert(!newer(r_told, r_number, told[k], number[k]));
     r_told = told[k]; r_number = number[k]; r_content = content[k]
  :: else
  fi
}
/* Hello */
inline says_hello(k) {
  learn(k, r_told);
  if :: r_told > followed[k] -> followed[k] = r_told :: else fi
}

inline any(k) { if :: k = 0 :: k = 1 :: k = 2 fi }

#define vacant(k) (!mine[k])
#define next_term(k) ((term[k] > voted[k] -> term[k] : voted[k]) + 1)

inline restart(k) {
  restarts++;
  term[k] = 0; voted[k] = 0; mine[k] = false; standing[k] = 0; standing_for[k] = 0; votes[k] = 0;
  told[k] = 0; number[k] = 0; content[k] = 0; followed[k] = 0;
#ifndef PLANT_NODE_NUMBER
  draw_id(k)
#endif
}

inline the_receiver(k) {
  if :: session == k -> follows(k); says_hello(k) :: else fi;
}

/* What follows a calm is not looked at: all calms end alike. */
inline forget_all() {
  k = 0;
  do
  :: k < N ->
     id[k] = 0; term[k] = 0; voted[k] = 0; mine[k] = false; standing[k] = 0; standing_for[k] = 0; votes[k] = 0;
     told[k] = 0; number[k] = 0; content[k] = 0; followed[k] = 0;
     k++
  :: else -> break
  od;
  session = 0;
  r_told = 0; r_number = 0; r_content = 0;
  used = 0; restarts = 0; readings = 0; i = 0; j = 0; k = 0
}

/* Calm: all hear of all, three times. Whoever has the duty still is followed; who stands next where the receiver
 * is will be. Another that stands for too low a term and wins it is the first case again. */
inline settle() {
  d_step {
  i = 0;
  do
  :: i < 3 ->
     k = 0;
     do
     :: k < N ->
        j = 0;
        do
        :: j < N -> if :: j != k -> hears(j, k); passes_on(k, j) :: else fi; j++
        :: else -> break
        od;
        k++
     :: else -> break
     od;
     k = 0;
     do
     :: k < N ->
        the_receiver(k);
        if :: mine[k] -> reads(k) :: else fi;
        k++
     :: else -> break
     od;
     i++
  :: else -> break
  od;
  k = 0;
  do
  :: k < N ->
     assert(!mine[k] || (r_told == told_term(term[k], id[k])));
     assert(mine[k] || k != session || told_term(next_term(k), id[k]) > r_told);
     k++
  :: else -> break
  od;
  forget_all()
  }
}

proctype world() {
  byte i, j, k, h;
end:
  do
  :: atomic { any(k); /* LeaderElection::start_campaign() */
       if
       :: vacant(k) && !standing[k] && next_term(k) <= TERMS ->
          standing[k] = 1; standing_for[k] = next_term(k); votes[k] = 0
       :: else
       fi; k = 0 }
  :: atomic { any(k); any(j); /* grant_vote(), on_elected() */
       if
       :: standing[k] && !(votes[k] & (1 << j)) && standing_for[k] > voted[j] && standing_for[k] > term[j] && vacant(j) ->
          voted[j] = standing_for[k]; votes[k] = votes[k] | (1 << j);
          if
          :: votes[k] == 3 || votes[k] == 5 || votes[k] == 6 || votes[k] == 7 ->
             standing[k] = 0;
             if :: standing_for[k] > term[k] -> mine[k] = true; term[k] = standing_for[k] :: else fi;
             standing_for[k] = 0; votes[k] = 0
          :: else
          fi
       :: else
       fi; k = 0; j = 0 }
  :: atomic { any(k); /* on_campaign_lost(), step_down() */
       if
       :: standing[k] -> standing[k] = 0; standing_for[k] = 0; votes[k] = 0
       :: mine[k] -> stand_down(k)
       :: else
       fi; k = 0 }
  :: atomic { any(k); any(j); if :: j != k -> hears(j, k) :: else fi; k = 0; j = 0 }
  :: atomic { any(k); if :: mine[k] && readings < READINGS -> reads(k) :: else fi; k = 0 }
  :: atomic { any(k); any(j); if :: j != k -> passes_on(k, j) :: else fi; k = 0; j = 0 }
  :: atomic { true -> follows(session) }
  :: atomic { true -> says_hello(session) }
  /* The three are alike: it is the first that is started anew. */
  :: atomic { restarts < RESTARTS -> restart(0) }
  :: atomic { settle(); break }
  od
}

init { atomic {
#if RESTARTS > 0
  draw_id(0);
  if :: session = 0 :: session = 1 :: session = 2 fi;
#else
  id[0] = 1; /* nobody wins a term twice: the three are alike */
#endif
  id[1] = 2; id[2] = 4;
  run world()
} }
