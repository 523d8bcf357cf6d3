/* One shard, two hosts, the assignment record and the engine that the owner gives orders to.
   Authority is abstract, as authority.pml proves it: an incarnation has none once it has a tombstone.
   The shard's state is abstract too: a staged copy is fresh until an owner acts again.
   It is not modelled whom a staged copy came from or was meant for: the checks in the code that
   compare these are not needed for the properties.
   With -DORDERS the orders to the engine are modelled instead of the staged state. */
#ifndef MAX_REV
#define MAX_REV 4   /* revisions of the assignment while faults happen */
#endif
#define MAX_INC 2   /* incarnations of each host */
#define BOUND 4     /* rounds without faults until the preferred host holds the shard */
#define NOBODY 2

/* ---- Guards ---------------------------------------------------------------------------------- */

#ifdef M_NO_AUTHORITY    /* an owner acts without checking its authority at the moment of use */
#define HAS_AUTHORITY(h) true
#else
#define HAS_AUTHORITY(h) (!dead[h])
#endif
#ifdef M_ANY_INCARNATION /* an owner acts although the record names an earlier incarnation */
#define SAME_INC(h) true
#else
#define SAME_INC(h) (kInc[h] == inc[h])
#endif
#ifdef M_NO_FREEZE       /* an owner acts on while its shard is handed over */
#define NOT_FROZEN(h) true
#else
#define NOT_FROZEN(h) (!frozen[h])
#endif
#ifdef M_CLAIM_LIVE      /* a shard is claimed although its owner has no tombstone */
#define GONE(h) true
#else
#define GONE(h) (kInc[h] < inc[kOwn[h]] || dead[kOwn[h]])
#endif
#ifdef M_UNBOUND         /* the assignment is written whatever its revision is */
#define AT_EXPECTED(h) true
#else
#define AT_EXPECTED(h) (wExp[h] == rev)
#endif
#ifdef M_GIVE_UP_OPEN    /* a handover is given up while its write may take effect */
#define NO_OPEN_WRITE(h) true
#else
#define NO_OPEN_WRITE(h) (!wOpen[h])
#endif
#ifdef M_UNSTARTED       /* a shard is handed over before its own state was resumed or recovered */
#define STARTED(h) true
#else
#define STARTED(h) ready[h]
#endif
#ifdef M_UNSTAGED        /* the assignment is handed over before the successor has the state */
#define STAGED(h) true
#else
#define STAGED(h) hStaged[h]
#endif
#ifdef M_STAGED_CLAIM    /* staged state is used after a claim */
#define NOT_CLAIMED(h) true
#else
#define NOT_CLAIMED(h) (!claimed)
#endif
#ifdef M_HANDED_BACK     /* an owner whose handover has an unknown result goes on with its old state */
#define HANDED(h) false
#else
#define HANDED(h) (wOpen[h] && wHand[h])
#endif
#ifdef M_SAME_REVISION   /* a given-up handover is repeated under the same revision */
#define NEW_REVISION(h) true
#else
#define NEW_REVISION(h) (!gaveUp[h])
#endif
#ifdef M_STAGE_OLDER     /* an older handover message replaces a newer one */
#define NOT_OLDER(h) true
#else
#define NOT_OLDER(h) (sRev[h] <= mRev[h])
#endif
#ifdef M_NO_FENCING      /* the engine takes orders with old fencing numbers */
#define NOT_FENCED(h) true
#else
#define NOT_FENCED(h) (oRev[h] >= highest)
#endif
#ifdef M_NO_CLAIM        /* progress: shards of dead owners are not claimed */
#define CLAIMS false
#else
#define CLAIMS true
#endif
#ifdef M_NO_GIVE_UP      /* progress: a handover to a dead host is never given up */
#define GIVES_UP false
#else
#define GIVES_UP true
#endif

/* ---- State ----------------------------------------------------------------------------------- */

/* Assignment record */
byte rev = 1, own = 0, ownInc = 1;

/* Hosts: current incarnation and its tombstone */
byte inc[2] = 1;
bool dead[2] = false;

/* What each host knows of the assignment; 0: nothing yet */
byte kRev[2] = 1, kOwn[2] = 0, kInc[2] = 1;

/* Whether the state of the own shard was resumed or recovered */
bool ready[2] = false;

/* Handover by the owner */
bool frozen[2] = false, hStaged[2] = false;
byte frozenAt[2] = 0, frozenTo[2] = 0;
bool gaveUp[2] = false; /* under the known revision */

/* Write of a host, open until the record is seen beyond the expected revision */
bool wOpen[2] = false, wClaim[2] = false, wHand[2] = false, wDone[2] = false;
byte wExp[2] = 0, wInc[2] = 0;

/* Handover message to host h, and what h keeps of it */
byte mRev[2] = 0, mFrom[2] = 0, sRev[2] = 0;
bool mFresh[2] = false, sFresh[2] = false;

/* A handover message that is overtaken by a newer one to the same host */
byte lRev = 0, lFrom = 0, lHost = 0;
bool lFresh = false;

#ifdef ORDERS
/* Order of host h on its way to the engine, and what the engine has seen. Tenures are only for the
   check: the revision at which the sender gained the shard. */
byte oRev[2] = 0, highest = 0, tenure[2] = 0, oTenure[2] = 0, newestTenure = 0;
#define SET_TENURE(h, r) tenure[h] = r
#define STAGES false
#else
#define SET_TENURE(h, r) skip
#define STAGES true
#endif

/* Progress: faults have stopped; what holds from then on */
bool calm = false, isUp[2] = true;
byte rounds = 0, preferred = 0;

bool claimed = false; /* only within a step */

#define OWNS(h) (kRev[h] > 0 && kOwn[h] == h && SAME_INC(h))
#define MAY_ACT(h) (OWNS(h) && ready[h] && HAS_AUTHORITY(h) && NOT_FROZEN(h))

/* Never two holders of the shard, and no holder with a tombstone. */
inline check() {
  assert(!(MAY_ACT(0) && MAY_ACT(1)));
  assert(!(MAY_ACT(0) && dead[0]) && !(MAY_ACT(1) && dead[1]))
}
/* Host me learns the assignment (toRev, toOwn, toInc). On gaining the shard it resumes or recovers.
   A shard whose handover has an unknown result may have come back: it counts as gained again. */
inline learn(me, toRev, toOwn, toInc) {
  if
  :: toRev > kRev[me] ->
     claimed = wOpen[me] && wClaim[me];
     if
     :: toOwn == me && toInc == inc[me] && (!(OWNS(me)) || HANDED(me)) ->
        if
        :: NOT_CLAIMED(me) && sRev[me] > 0 && sRev[me] < toRev ->
           assert(sFresh[me]) /* resumes only from the state that the previous owner ended with */
        :: else
        fi;
        thaw(me); ready[me] = false; SET_TENURE(me, toRev); sRev[me] = 0; sFresh[me] = false
     :: else
     fi;
     gaveUp[me] = false; kRev[me] = toRev; kOwn[me] = toOwn; kInc[me] = toInc;
     if :: wOpen[me] && wExp[me] < toRev -> close_write(me) :: else fi;
     if
     :: !(toOwn == me && toInc == inc[me]) ->
        thaw(me); ready[me] = false; SET_TENURE(me, 0)
     :: else
     fi
  :: else
  fi;
  claimed = false
}
inline close_write(h) {
  wOpen[h] = false; wClaim[h] = false; wHand[h] = false; wDone[h] = false; wExp[h] = 0;
  wInc[h] = 0
}
inline thaw(h) { frozen[h] = false; hStaged[h] = false; frozenAt[h] = 0; frozenTo[h] = 0 }
inline lose_message(h) { mRev[h] = 0; mFrom[h] = 0; mFresh[h] = false }
/* kind of a write: claim, handover, or neither (the record again, for a newer revision) */
inline open_write(h, claims, hands) {
  wOpen[h] = true; wClaim[h] = claims; wHand[h] = hands; wExp[h] = kRev[h];
  wInc[h] = (hands -> frozenTo[h] : inc[h])
}
inline land(h) {
  rev = rev + 1;
  own = (wHand[h] -> 1 - h : (wClaim[h] -> h : own));
  ownInc = (wHand[h] || wClaim[h] -> wInc[h] : ownInc);
  wDone[h] = true
}
inline act() {
  sFresh[0] = false; sFresh[1] = false; mFresh[0] = false; mFresh[1] = false; lFresh = false
}
inline give_up(h) { gaveUp[h] = (frozenAt[h] == kRev[h]); thaw(h) }
#ifdef ORDERS
inline order(h) { oRev[h] = kRev[h]; oTenure[h] = tenure[h] }
/* The engine executes no order of an earlier owner after one of a later owner. */
inline execute(h) {
  assert(oTenure[h] >= newestTenure);
  newestTenure = oTenure[h];
  highest = (oRev[h] > highest -> oRev[h] : highest);
  oRev[h] = 0; oTenure[h] = 0
}
#endif
inline freeze(h) {
  frozen[h] = true; frozenAt[h] = kRev[h]; frozenTo[h] = inc[1 - h]; hStaged[h] = false
}
inline send_state(h) {
  if
  :: mRev[1 - h] > 0 && mRev[1 - h] < frozenAt[h] && lRev == 0 ->
     lRev = mRev[1 - h]; lFrom = mFrom[1 - h]; lFresh = mFresh[1 - h];
     lHost = 1 - h
  :: else
  fi;
  mRev[1 - h] = frozenAt[h]; mFrom[1 - h] = inc[h];
  mFresh[1 - h] = ready[h]
}
inline keep_state(h) { sRev[h] = mRev[h]; sFresh[h] = mFresh[h] }
/* A new process of host h: the open write of the old one may land before this or never. */
inline rejoin(h) {
  inc[h] = inc[h] + 1; dead[h] = false; kRev[h] = 0; kOwn[h] = NOBODY; kInc[h] = 0;
  ready[h] = false; SET_TENURE(h, 0); thaw(h); gaveUp[h] = false; sRev[h] = 0; sFresh[h] = false;
  close_write(h)
}
inline late_message() {
  mRev[lHost] = lRev; mFrom[lHost] = lFrom; mFresh[lHost] = lFresh;
  lRev = 0; lFrom = 0; lHost = 0; lFresh = false
}

/* ---- Progress without faults ----------------------------------------------------------------- */

inline stop_faults(a, b) {
  calm = true; isUp[0] = a; isUp[1] = b; preferred = (b -> 1 : 0);
  lose_message(0); lose_message(1); lRev = 0; lFrom = 0; lHost = 0; lFresh = false
}
inline standing_round(h) {
  if
  :: isUp[h] && dead[h] -> rejoin(h)
  :: !isUp[h] -> dead[h] = true
  :: else
  fi
}
inline write_round(h) { land(h); learn(h, rev, own, ownInc); ready[h] = OWNS(h) }
inline host_round(h) {
  learn(h, rev, own, ownInc);
  ready[h] = OWNS(h);
  if
  :: !isUp[h]
  :: isUp[h] && wOpen[h] -> write_round(h)
  :: isUp[h] && !wOpen[h] && !(OWNS(h)) && h == preferred && GONE(h) && CLAIMS ->
     open_write(h, true, false); write_round(h)
  :: isUp[h] && !wOpen[h] && OWNS(h) && frozen[h] && GIVES_UP &&
       (h == preferred || frozenTo[h] != inc[1 - h]) -> give_up(h)
  :: isUp[h] && !wOpen[h] && OWNS(h) && h != preferred && frozen[h] && frozenTo[h] == inc[1 - h] ->
     send_state(h); keep_state(1 - h); lose_message(1 - h); hStaged[h] = true;
     open_write(h, false, true); write_round(h)
  :: isUp[h] && !wOpen[h] && OWNS(h) && h != preferred && !frozen[h] && gaveUp[h] ->
     open_write(h, false, false); write_round(h)
  :: isUp[h] && !wOpen[h] && OWNS(h) && h != preferred && !frozen[h] && !gaveUp[h] ->
     freeze(h)
  :: else
  fi
}

/* ---- Protocol with faults -------------------------------------------------------------------- */

proctype host(byte h) {
 do
 /* tombstone, new incarnation */
 :: d_step { !calm && !dead[h] -> dead[h] = true }
 :: d_step { !calm && dead[h] && inc[h] < MAX_INC -> rejoin(h) }
 /* the record: read, claim, effect of a write, answer */
 :: d_step { !calm && kRev[h] < rev -> learn(h, rev, own, ownInc) }
 :: d_step { !calm && CLAIMS && !dead[h] && !wOpen[h] && kRev[h] > 0 && !(OWNS(h)) && GONE(h) ->
      open_write(h, true, false) }
 :: d_step { !calm && wOpen[h] && !wDone[h] && AT_EXPECTED(h) && rev < MAX_REV -> land(h) }
 :: d_step { !calm && wOpen[h] && !wDone[h] && rev != wExp[h] -> close_write(h) }
 /* handover: freeze, send, lose, deliver with or without acknowledgement, write, give up */
 :: d_step { !calm && OWNS(h) && STARTED(h) && !dead[h] && !frozen[h] && !wOpen[h] &&
      NEW_REVISION(h) ->
      freeze(h) }
 :: d_step { !calm && !STAGES && frozen[h] && !hStaged[h] -> hStaged[h] = true }
 :: d_step { !calm && STAGES && frozen[h] && !hStaged[h] -> send_state(h) }
 :: d_step { !calm && mRev[h] > 0 -> lose_message(h) }
 :: d_step { !calm && lRev > 0 && lHost == h -> late_message() }
 :: d_step { !calm && mRev[h] > 0 && NOT_OLDER(h) -> keep_state(h) }
 :: d_step { !calm && mRev[h] > 0 && NOT_OLDER(h) && frozen[1 - h] &&
      mFrom[h] == inc[1 - h] && mRev[h] == frozenAt[1 - h] -> keep_state(h); hStaged[1 - h] = true }
 :: d_step { !calm && frozen[h] && STAGED(h) && !dead[h] && !wOpen[h] -> open_write(h, false, true) }
 :: d_step { !calm && frozen[h] && NO_OPEN_WRITE(h) && GIVES_UP -> give_up(h) }
 :: d_step { !calm && OWNS(h) && !dead[h] && !frozen[h] && !wOpen[h] && gaveUp[h] ->
      open_write(h, false, false) }
 :: d_step { !calm && OWNS(h) && !ready[h] && !dead[h] && !frozen[h] -> ready[h] = true }
 /* use: the state changes, an order goes to the engine */
 :: d_step { !calm && STAGES && MAY_ACT(h) -> act() }
#ifdef ORDERS
 :: d_step { !calm && MAY_ACT(h) -> order(h) }
 :: d_step { !calm && oRev[h] > 0 && NOT_FENCED(h) -> execute(h) }
#endif
 /* each state is checked */
 :: d_step { true -> check() }
 :: calm && rounds == BOUND -> break
 od
}

init {
  ready[0] = true;
  SET_TENURE(0, 1);
  atomic { run host(0); run host(1) };
  do
  :: d_step { !calm -> stop_faults(true, true) }
  :: d_step { !calm -> stop_faults(true, false) }
  :: d_step { !calm -> stop_faults(false, true) }
  :: d_step { calm && rounds < BOUND -> rounds++;
       standing_round(0); standing_round(1); host_round(0); host_round(1);
       assert(rounds < BOUND || MAY_ACT(preferred)) }
  :: calm && rounds == BOUND -> break
  od
}
