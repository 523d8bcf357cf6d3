/* The duty to coordinate: a record of the platform's store under a lease, two hosts, and the orders that they give.
   A tick is the unit of all times. Calls to the store take any time, on the way there and back, and their answers may be lost; the
   lease may also outlast its time, as while the store is away. Hosts pause, end and start again, and give the duty up as planned.
   With RETURNS, the store returns once from a copy, in a new era: the lease is gone, the record of the last term is an older one or
   none, and calls that name what was known before may hit what stands there now. */
#define LEASE 3     /* ticks until the lease lapses, from the arrival of the last renewal */
#define ORDERS 2    /* orders are given while the last acknowledged renewal was sent less than this ago */
#define TURN 4      /* orders of two hosts lie this far apart */
#define PAUSE 2     /* handover_pause: TURN + ORDERS - LEASE, less the tick in which the last order is given */
#define RESIGN 2    /* resign_pause: TURN - PAUSE */
#define LOST_PAUSE 5 /* lost_lease_pause: PAUSE + LEASE */
#define NOBODY 2

/* ---- Guards ---------------------------------------------------------------------------------- */

#ifdef M_COUNT_FROM_ANSWER  /* a renewal counts from when its answer came */
#define CONFIRMED(h) 0
#else
#define CONFIRMED(h) sentAge[h]
#endif
#ifdef M_NO_PAUSE           /* a new holder gives orders at once */
#define NEW_PAUSE 0
#else
#define NEW_PAUSE PAUSE
#endif
#ifdef M_UNCHECKED          /* orders are given as long as the host believes in its duty */
#define IS_RENEWED(h) true
#else
#define IS_RENEWED(h) (renewed[h] < ORDERS)
#endif
#ifdef M_ABRUPT             /* the lease is ended as soon as the duty is given up */
#define RESIGNED(h) true
#else
#define RESIGNED(h) (quiet[h] >= RESIGN)
#endif
#ifdef M_OWN_TERM           /* a host that held the duty last never waits, settled or not */
#define MAY_SKIP(h) (last == h)
#else
#define MAY_SKIP(h) (last == h && settled)
#endif

#ifdef M_ERA_RENEWAL        /* a renewal answered in another era counts */
#define IS_ERA_CHECKED false
#else
#define IS_ERA_CHECKED true
#endif
#ifdef M_ERA_PAUSE          /* the first holder of an era waits as after a lease that ran out */
#define FIRST_PAUSE PAUSE
#else
#define FIRST_PAUSE LOST_PAUSE
#endif
#ifdef M_ERA_RECORD         /* the record of a term of another era counts */
#define IS_FOREIGN false
#else
#define IS_FOREIGN (lastEra != era || last == NOBODY && era == 1)
#endif
#ifdef M_ERA_UNSETTLED      /* the pause for a lost lease is forgotten when its term ends early */
#define KEEPS_LOSS false
#else
#define KEEPS_LOSS (afterLoss && !settled)
#endif

/* ---- State ----------------------------------------------------------------------------------- */

mtype = { none, renewing, renewed_ok, refused, acquiring, acquired, waits, waits_long };

byte holder = NOBODY;       /* in the store */
byte leaseAge;
byte last = NOBODY;         /* holder of the last term, in the store */
bool settled;               /* that term's holder has waited for its predecessor */
bit era;                    /* of the store */
bit lastEra;                /* in the record of the last term */
bool afterLoss;             /* that term began after a lease may have been lost */
bit termEra[2];
bit callEra[2];             /* era that the host knew when it sent the call */
bit knownEra[2];            /* newest era that the host has seen in an answer */
mtype call[2] = none;       /* a host's call: on its way, or its answer is */
byte sentAge[2];
bool has[2];                /* the host believes that it has the duty */
byte renewed[2];
byte pause[2];
bool resigning[2];
byte quiet[2];              /* ticks since the host stopped giving orders */
byte lastOrder[2] = TURN;

#define AGE(x, most) x = (x < most -> x + 1 : x)

inline forget(h) {
  has[h] = false; call[h] = none; termEra[h] = 0; callEra[h] = 0; renewed[h] = 0; pause[h] = 0; resigning[h] = false; quiet[h] = 0; sentAge[h] = 0
}

proctype Host(byte h) {
  do
  :: atomic { !has[h] && call[h] == none && (holder == NOBODY || holder == h) ->
       call[h] = acquiring; callEra[h] = knownEra[h]; sentAge[h] = 0 }
  :: atomic { has[h] && call[h] == none && !resigning[h] ->
       call[h] = renewing; callEra[h] = termEra[h]; sentAge[h] = 0 }
  :: atomic { call[h] == renewed_ok ->
       if
       :: CONFIRMED(h) < renewed[h] -> renewed[h] = CONFIRMED(h)
       :: else
       fi;
       call[h] = none; sentAge[h] = 0 }
  :: atomic { call[h] == refused -> forget(h) }
  :: atomic { (call[h] == acquired || call[h] == waits || call[h] == waits_long) && !has[h] ->
       has[h] = true; renewed[h] = CONFIRMED(h); termEra[h] = callEra[h];
       pause[h] = (call[h] == waits_long -> FIRST_PAUSE : (call[h] == waits -> NEW_PAUSE : 0));
       call[h] = none; sentAge[h] = 0; callEra[h] = 0 }
  :: atomic { has[h] && !resigning[h] && pause[h] == 0 && IS_RENEWED(h) ->
       assert(lastOrder[1 - h] >= TURN);
       lastOrder[h] = 0;
       if
       :: holder == h && last == h && termEra[h] == era -> settled = true
       :: true
       fi }
  :: atomic { has[h] && !resigning[h] && call[h] == none -> resigning[h] = true; quiet[h] = 0 }
  :: atomic { has[h] && resigning[h] && RESIGNED(h) ->
       if
       :: holder == h && termEra[h] == era -> holder = NOBODY; leaseAge = 0
       :: else
       fi;
       forget(h) }
  :: atomic { knownEra[h] != era && call[h] == none -> /* learns of the era, from the store or another host */
       knownEra[h] = era;
       if
       :: has[h] && IS_ERA_CHECKED -> forget(h)
       :: else
       fi }
  :: atomic { has[h] || call[h] != none -> forget(h) }   /* the process ends; its call may be lost with it */
  od
}

/* Carries a call out. Its answer may be lost with the connection. */
inline serve(h) {
  if
  :: call[h] == renewing && callEra[h] != era && holder != NOBODY ->  /* its lease's id may name another lease */
       leaseAge = 0;
       call[h] = (IS_ERA_CHECKED -> refused : renewed_ok)
  :: call[h] == renewing && callEra[h] == era && holder == h -> leaseAge = 0; call[h] = renewed_ok
  :: call[h] == acquiring && callEra[h] != era && holder == NOBODY ->  /* the host gives the claim up */
       holder = h; leaseAge = 0; last = h; lastEra = callEra[h];
       call[h] = refused;
       if
       :: settled = true
       :: settled = false
       fi
  :: call[h] == acquiring && callEra[h] == era && (holder == NOBODY || holder == h) ->
       holder = h; leaseAge = 0;
       if
       :: IS_FOREIGN || KEEPS_LOSS -> call[h] = waits_long; settled = false; afterLoss = true
       :: else ->
            afterLoss = false;
            if
            :: last == NOBODY || MAY_SKIP(h) -> call[h] = acquired; settled = true
            :: else -> call[h] = waits; settled = false
            fi
       fi;
       last = h; lastEra = era
  :: else -> call[h] = refused
  fi;
  if
  :: call[h] != refused -> call[h] = none; sentAge[h] = 0; callEra[h] = 0
  :: true
  fi
}

proctype Store() {
  do
  :: atomic { holder != NOBODY && leaseAge >= LEASE -> holder = NOBODY; leaseAge = 0 }
#ifdef RETURNS
  :: atomic { era == 0 ->
       era = 1; holder = NOBODY; leaseAge = 0; afterLoss = false;
       if
       :: last = NOBODY; settled = false
       :: true
       :: last != NOBODY -> last = 1 - last; settled = true
       fi }
#endif
  :: atomic { call[0] == renewing || call[0] == acquiring -> serve(0) }
  :: atomic { call[1] == renewing || call[1] == acquiring -> serve(1) }
  od
}

#define TICK(h) \
  AGE(sentAge[h], ORDERS); AGE(renewed[h], ORDERS); AGE(lastOrder[h], TURN); \
  pause[h] = (pause[h] > 0 -> pause[h] - 1 : 0); \
  quiet[h] = (resigning[h] && quiet[h] < RESIGN -> quiet[h] + 1 : quiet[h])

proctype Clock() {
  do
  :: atomic {
       TICK(0); TICK(1);
       leaseAge = (holder != NOBODY && leaseAge < LEASE -> leaseAge + 1 : leaseAge)
     }
  od
}

init { atomic { run Host(0); run Host(1); run Store(); run Clock() } }
