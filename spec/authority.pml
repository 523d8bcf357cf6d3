/* Authority of one incarnation of host H. G is its guardian, N the guardian of G and the host that
   H appoints instead of G. Ages and remaining times are in ticks and saturate at T; nothing runs a
   clock besides the tick. Every guard of the protocol is a macro that a mutant (-DM_<NAME>) opens. */
#ifndef T
#define T 2
#endif
#define NONE 99
#define BOUND (3 * T) /* ticks without faults until the progress goals hold; 3T - 1 is too few */

/* ---- Guards ---------------------------------------------------------------------------------- */

#ifdef M_ACK_LAPSED       /* a guardian without authority acknowledges */
#define MAY_ACK_LAPSED true
#else
#define MAY_ACK_LAPSED gValid
#endif
#ifdef M_ACK_TRYING       /* a heartbeat is acknowledged during an attempt to declare the death */
#define NOT_TRYING(try) true
#else
#define NOT_TRYING(try) (!try)
#endif
#ifdef M_ACK_DEAD         /* an attempt counts as resolved although it wrote the tombstone */
#define NOT_DEAD true
#else
#define NOT_DEAD (!tomb)
#endif
#ifdef M_OLD_RECORD       /* a restarted guardian acknowledges on a record from before it joined */
#define NEW_RECORD true
#else
#define NEW_RECORD hbNew
#endif
#ifdef M_COUNT_OLD        /* heartbeats to the old guardian count after asking for another */
#define NOT_ASKED true
#else
#define NOT_ASKED (!asked)
#endif
#ifdef M_CLEAR_ASK        /* the request for another guardian is forgotten while it may take effect */
#define ASK_SPENT true
#else
#define ASK_SPENT askSpent
#endif
#ifdef M_OVERWRITE_DEAD   /* a host that read its tombstone goes on writing its record */
#define NOT_FENCED true
#else
#define NOT_FENCED (!tomb)
#endif
#ifdef M_RECEIVE_TIME     /* authority counts from the receipt of the acknowledgement */
#define LEFT(sent) T
#else
#define LEFT(sent) (T - sent)
#endif
#ifdef M_WRITE_RECEIVE_TIME /* the same for renewals */
#define WRITE_LEFT T
#else
#define WRITE_LEFT (T - wAge)
#endif
#ifdef M_NO_PROMISE       /* a death is declared in spite of the promise */
#define PROMISE_OVER(promise) true
#else
#define PROMISE_OVER(promise) (promise == 0)
#endif
#ifdef M_NO_WAIT          /* a guardian judges without waiting after it observed the record */
#define WAITED(since) true
#else
#define WAITED(since) (since >= T)
#endif
#ifdef M_REBIND           /* an open attempt is bound to the record as read again */
#define RESOLVE(try, fly) if :: try -> fly = true :: else fi
#else
#define RESOLVE(try, fly) try = false
#endif
#ifdef M_TAKEOVER_LIVE    /* hosts of a guardian without tombstone are taken over */
#define GUARDIAN_DEAD true
#else
#define GUARDIAN_DEAD gTomb
#endif
#ifdef M_UNBOUND          /* a tombstone is written whatever the record's revision is */
#define SPEND_DEATHS skip
#else
#define SPEND_DEATHS gFly = false; nFly = false
#endif
#ifdef M_NO_TAKEOVER      /* progress: hosts of a dead guardian are not taken over */
#define TAKES_OVER false
#else
#define TAKES_OVER true
#endif
#ifdef M_NO_RENEWAL       /* progress: a host without acknowledgement does not renew */
#define RENEWS false
#else
#define RENEWS true
#endif

/* ---- State ----------------------------------------------------------------------------------- */

/* H: remaining authority, and what it knows of its record */
byte left = T;
bool hKnowsN = false;   /* the newest known record names N */
bool hCurrent = true;   /* the known revision is the current one */
bool hNew = true;       /* the known revision is newer than the join of G's incarnation */
bool asked = false, askSpent = false;

/* Messages: age of the heartbeat to G or N and of an acknowledgement */
byte hb = NONE, ack = NONE;
bool hbToN = false, hbNew = false;

/* Write of H: bound to a revision; done: it took effect. A zombie is a write with unknown result. */
bool wOpen = false, wChange = false, wBound = false, wDone = false, wNew = false;
byte wAge = 0;
bool zChange = false, zRenew = false; /* zombies that are still bound to the current revision */

/* Key-value service and the record of H */
bool up = true, tomb = false, byN = false, recNew = true;

/* G (any incarnation) and N as guardians */
bool gValid = true, gTomb = false, gSees = false, gTry = false, gFly = false;
byte gProm = T, gSince = 0;
bool nSees = false, nTry = false, nFly = false, nPrep = false;
byte nProm = 0, nSince = 0;

/* Progress: faults have stopped; what holds from then on */
bool calm = false, hUp = true, gUp = true, spared = false;
byte calmTicks = 0, silent = 0, gDown = 0;

#define dec(x) x = (x > 0 -> x - 1 : 0)
#define inc(x) x = (x < T -> x + 1 : T)
#define age(x) x = (x == NONE -> NONE : (x < T -> x + 1 : T))
#define max(x, y) (x > y -> x : y)

/* The record got a new revision: every write bound to the old one fails from now on. */
inline changed() {
  gSees = false; nSees = false; nPrep = false; hCurrent = false; askSpent = true;
  gSince = 0; nSince = 0; wBound = false; zChange = false; zRenew = false; recNew = true; SPEND_DEATHS
}
/* Never acts with a tombstone: checked when the tombstone is written and when authority grows. */
inline bury() { tomb = true; changed(); assert(left == 0) }
inline grow(x) { left = max(x, left); assert(!tomb || left == 0) }
inline time() {
  dec(left); dec(gProm); dec(nProm); age(hb); age(ack);
  if :: gSees -> inc(gSince) :: else fi;
  if :: nSees -> inc(nSince) :: else fi;
  if :: wOpen -> inc(wAge) :: else fi
}
inline close_write() {
  wOpen = false; wChange = false; wBound = false; wDone = false; wNew = false; wAge = 0
}
inline lose_heartbeat() { hb = NONE; hbNew = false; hbToN = false }
/* N is the guardian: G neither judges H nor resolves attempts any more. */
inline appoint() { byN = true; gTry = false; gProm = 0; changed() }
/* A new incarnation of G: promises and attempts are forgotten, sent writes may still take effect. */
inline restart() {
  gTomb = false; gValid = true; gProm = 0; gSees = false; gSince = 0; gTry = false;
  recNew = false; hNew = false; hbNew = false; wNew = false
}
inline read_record() {
  hCurrent = true; hKnowsN = byN; hNew = recNew;
  if :: ASK_SPENT -> asked = false; askSpent = false :: else fi
}

/* ---- Progress without faults ----------------------------------------------------------------- */

/* Messages and writes that are open when the faults stop are lost. */
inline stop_faults(h, g) {
  calm = true; hUp = h; gUp = g; spared = h && !tomb && !gTry && !nTry;
  up = true; ack = NONE; lose_heartbeat(); close_write();
  zChange = false; zRenew = false; gFly = false; nFly = false; nPrep = false
}
inline guardian_tick() {
  if
  :: gUp && gTomb -> restart()
  :: gUp && !gTomb -> gValid = true
  :: !gUp -> gValid = false; gTomb = (gTomb || gDown >= T); inc(gDown)
  fi
}
inline host_tick() {
  read_record();
  if
  :: !asked && !hKnowsN && gValid && !gTry && hNew -> grow(T); gProm = T; silent = 0
  :: !asked && hKnowsN && !nTry -> grow(T); nProm = T; silent = 0
  :: else -> inc(silent);
     if
     :: RENEWS -> if :: asked || silent >= T -> appoint() :: else -> changed() fi;
       grow(T); read_record()
     :: else
     fi
  fi
}
inline judge_tick() {
  if
  :: !tomb && !byN && gUp && !gSees -> gTry = false; gSees = true; gSince = 0
  :: !tomb && !byN && gUp && gSees && (gTry || (gProm == 0 && gSince >= T)) -> bury()
  :: !tomb && !byN && gTomb && TAKES_OVER -> appoint()
  :: !tomb && byN && !nSees -> nTry = false; nSees = true; nSince = 0
  :: !tomb && byN && nSees && (nTry || (nProm == 0 && nSince >= T)) -> bury()
  :: else
  fi
}

/* ---- Protocol with faults -------------------------------------------------------------------- */

active proctype system() {
 do
 /* time, faults of the key-value service and of G */
 :: d_step { !calm -> time() }
 :: d_step { !calm && up -> up = false }
 :: d_step { !calm && !up -> up = true }
 :: d_step { !calm && gValid -> gValid = false }
 :: d_step { !calm && !gValid && !gTomb -> gValid = true }
 :: d_step { !calm && !gValid && !gTomb && up -> gTomb = true }
 :: d_step { !calm && (up || !gTomb) -> restart() }
 /* heartbeats: sent, lost, acknowledged; a message that stays in its slot is a duplicate */
 :: d_step { !calm && hb == NONE && NOT_ASKED -> hb = 0; hbToN = hKnowsN; hbNew = hNew && !hKnowsN }
 :: d_step { !calm && hb != NONE -> lose_heartbeat() }
 :: d_step { !calm && hb != NONE && !hbToN && MAY_ACK_LAPSED && NOT_TRYING(gTry) && NEW_RECORD ->
      ack = hb; gProm = (byN -> 0 : T) }
 :: d_step { !calm && hb != NONE && hbToN && NOT_TRYING(nTry) -> ack = hb; nProm = T }
 :: d_step { !calm && ack != NONE -> grow(LEFT(ack)) }
 :: d_step { !calm && ack != NONE -> ack = NONE }
 /* writes of H: renewal, change of guardian, effect, answer, unknown result, read */
 :: d_step { !calm && !wOpen -> wOpen = true; wChange = false; wBound = hCurrent; wAge = 0 }
 :: d_step { !calm && !wOpen && !hKnowsN -> wOpen = true; wChange = true; wBound = hCurrent;
      wAge = 0; asked = true; askSpent = !hCurrent }
 :: d_step { !calm && wOpen && wBound && up ->
      if :: wChange && !byN -> appoint() :: else -> changed() fi; wDone = true; wNew = true }
 :: d_step { !calm && wOpen && wDone -> grow(WRITE_LEFT); hKnowsN = hKnowsN || wChange;
      asked = false; askSpent = false; hNew = wNew;
      close_write() }
 :: d_step { !calm && wOpen -> zChange = zChange || (wBound && wChange);
      zRenew = zRenew || (wBound && !wChange); close_write() }
 :: d_step { !calm && zChange && up && !byN -> appoint() }
 :: d_step { !calm && zRenew && up -> changed() }
 :: d_step { !calm && up && !wOpen && NOT_FENCED -> read_record() }
 /* G observes, attempts, buries; the write of an attempt may take effect at any time */
 :: d_step { !calm && up && !byN && !gSees && NOT_DEAD -> RESOLVE(gTry, gFly); gSees = true;
      gSince = 0 }
 :: d_step { !calm && !byN && gSees && gValid && !gTry && PROMISE_OVER(gProm) && WAITED(gSince) ->
      gTry = true; gFly = true }
 :: d_step { !calm && up && gFly && !tomb -> bury() }
 /* N takes over, observes, attempts, buries */
 :: d_step { !calm && GUARDIAN_DEAD && !byN && !tomb && TAKES_OVER -> nPrep = true }
 :: d_step { !calm && up && nPrep && !byN && !tomb -> appoint() }
 :: d_step { !calm && up && byN && !nSees && NOT_DEAD -> RESOLVE(nTry, nFly); nSees = true;
      nSince = 0 }
 :: d_step { !calm && byN && nSees && !nTry && PROMISE_OVER(nProm) && WAITED(nSince) ->
      nTry = true; nFly = true }
 :: d_step { !calm && up && nFly && !tomb -> bury() }
 /* faults stop with H and G running or not; one step is one tick */
 :: d_step { !calm -> stop_faults(true, true) }
 :: d_step { !calm -> stop_faults(true, false) }
 :: d_step { !calm -> stop_faults(false, true) }
 :: d_step { !calm -> stop_faults(false, false) }
 :: d_step { calm && calmTicks < BOUND -> calmTicks++; time(); guardian_tick();
      if :: hUp && !tomb -> host_tick() :: else fi;
      judge_tick();
      /* progress: a running host has authority by its guardian or a tombstone, a dead one the latter */
      assert(calmTicks < BOUND || tomb || (hUp && silent == 0));
      /* and a running host is not declared dead, unless an attempt was open when the faults stopped */
      assert(!(tomb && spared)) }
 :: calm && calmTicks == BOUND -> break
 od
}
