/* The life of one API call and of its connections to endpoints, for spin. README.md says which function each
 * step stands for. Everything that chance, the network or the module decides is a free choice here; what is
 * not free is what the code guarantees. Checked for every order of steps:
 *
 *  - no call is answered twice, and none after its caller has left;
 *  - a single-use call's effect takes place at most once, and never when it is answered as rejected;
 *  - where copies are barred no dispatch begins while another may still run for its caller;
 *  - once nothing can happen any more, the call has been answered or its caller has left, and nothing holds it.
 *
 * EFFECT: 0 replayable, 1 single-use.
 */
#ifndef EFFECT
#define EFFECT 1
#endif
#define MOST 3 /* dispatches of a call; the fourth adds states, no new kind of step */

mtype = { nothing, connecting, writing, reading, over };                      /* a connection's stage */
mtype = { done, error, turned_away, timed_out, not_connected, lost, cancelled, not_sent }; /* outcomes */
mtype = { open_, answered_done, answered_rejected, answered_broken, left };     /* what the caller has */

mtype stage[MOST] = nothing;
bool whole[MOST];      /* the last byte was written: from here on it may run */
bool arrived[MOST];    /* and is at the endpoint */
bool ran[MOST];
bool proof[MOST];      /* the endpoint has said that it never ran, and never will */
bool closed_[MOST];    /* the sidecar's end of the connection */
byte sent = 0;         /* dispatches begun */
byte out = 0;          /* of which the module has not heard the end */
byte effects = 0;
byte answers = 0;
mtype caller = open_;
bool bound = false;    /* one dispatch may have run */
bool held = true;      /* the driver keeps the call */
bool module_over = false;

chan ends = [MOST] of { byte, mtype }; /* BalancerDriver::dispatch_ends_ */

/* --- What the driver does ---------------------------------------------------------------------- */

inline settle() { if :: caller != open_ && out == 0 -> held = false :: else -> skip fi }

inline answer(how) {
  assert(caller == open_);
  assert(answers == 0);
  answers++;
  caller = how;
  assert(how != answered_rejected || EFFECT == 0 || effects == 0);
  withdraw_unsent()
}

/* UpstreamConnection::report by way of UpstreamPool::drop: told once, then the connection is no more. */
inline report(i, how) {
  assert(stage[i] != over && stage[i] != nothing);
  stage[i] = over;
  closed_[i] = true;
  ends ! i, how
}

/* BalancerDriver::cancel_unsent: what has not written its first byte when its call is over never does. */
inline withdraw_unsent() {
  byte w = 0;
  do
  :: w < MOST ->
     if :: stage[w] == connecting -> report(w, not_sent) :: else -> skip fi;
     w++
  :: else -> break
  od
}

/* The module's answers after an end, and to a new call: any that its guards allow. */
inline decide() {
  if
  :: sent < MOST && (EFFECT == 0 || !bound) && out == 0 ->           /* State::dispatch */
     stage[sent] = connecting; sent++; out++
  :: out == 0 && (EFFECT == 0 || !bound) -> module_over = true; answer(answered_rejected)  /* give_up: reject */
  :: module_over = true; answer(answered_broken)                      /* give_up: break off */
  fi
}

inline never_ran(how) { (how == not_sent || how == not_connected || how == turned_away) }

active proctype driver() {
  byte i;
  mtype how;
  atomic { decide(); settle() }
  do
  :: atomic { ends ? i, how ->                                        /* BalancerDriver::on_dispatch_end */
       if
       :: how == done && caller == open_ -> module_over = true; answer(answered_done)
       :: else -> skip
       fi;
       out--;
       if :: never_ran(how) -> skip :: else -> bound = true fi;
       if :: caller == open_ && out == 0 -> decide() :: else -> skip fi;
       settle()
     }
  :: atomic { caller == open_ ->                                      /* Driver::caller_left */
       caller = left; withdraw_unsent(); settle() }
  :: atomic { caller == open_ && out > 0 ->                           /* its time is up: break off, out or not */
       answer(answered_broken); settle() }
  :: atomic { caller != open_ && out > 0 && empty(ends) ->  /* the module cancels what is out */
       i = 0;
       do
       :: i < MOST && (stage[i] == writing || stage[i] == reading) ->
          if :: stage[i] == reading -> report(i, cancelled) :: else -> report(i, not_sent) fi; break
       :: i < MOST && stage[i] != writing && stage[i] != reading -> i++
       :: i == MOST -> break
       od }
  :: atomic { !held && len(ends) == 0 -> break }
  od
}

/* --- A connection: UpstreamConnection::run ------------------------------------------------------ */

proctype connection(byte i) {
end_conn:
  do
  :: atomic { stage[i] == connecting -> stage[i] = writing }          /* it is up, its first byte goes out */
  :: atomic { stage[i] == connecting -> report(i, not_connected) }    /* refused, or never up */
  :: atomic { stage[i] == connecting -> report(i, not_sent) }         /* too late to begin; endpoint drains */
  :: atomic { stage[i] == writing -> report(i, not_connected) }       /* broken or timed out before the last byte */
  :: atomic { stage[i] == writing -> whole[i] = true; stage[i] = reading }
  :: atomic { stage[i] == reading -> report(i, timed_out) }
  :: atomic { stage[i] == reading -> report(i, lost) }
  :: atomic { stage[i] == reading && ran[i] -> report(i, done) }
  :: atomic { stage[i] == reading && arrived[i] -> report(i, error) }
  :: atomic { stage[i] == reading && proof[i] -> report(i, turned_away) }
  :: atomic { stage[i] == over -> break }
  od
}

/* --- The endpoint: what was written whole may arrive and run long after its sender has gone. ------- */

proctype endpoint(byte i) {
end_endpoint:
  do
  :: atomic { whole[i] && !arrived[i] -> arrived[i] = true }
  :: atomic { arrived[i] && !ran[i] && !proof[i] -> proof[i] = true }  /* draining, full, too late */
  :: atomic { arrived[i] && !ran[i] && !proof[i] ->
       ran[i] = true; effects++;
       assert(EFFECT == 0 || effects <= 1);
       assert(EFFECT == 0 || caller != answered_rejected) }
  od
}

init { atomic {
  run connection(0); run connection(1); run connection(2);
  run endpoint(0); run endpoint(1); run endpoint(2)
} }

/* In the end every call is answered or left, and nothing holds it. */
ltl owed { <> (caller != open_ && !held) }
