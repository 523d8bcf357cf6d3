/* The duty to coordinate: a record of the platform's store under a lease, two hosts, and the orders that they give.
   A tick is the unit of all times. Calls to the store take any time, on the way there and back, and their answers may be lost; the
   lease may also outlast its time, as while the store is away. Hosts pause, end and start again, and give the duty up as planned. */
#define LEASE 3     /* ticks until the lease lapses, from the arrival of the last renewal */
#define ORDERS 2    /* orders are given while the last acknowledged renewal was sent less than this ago */
#define TURN 4      /* orders of two hosts lie this far apart */
#define PAUSE 2     /* handover_pause: TURN + ORDERS - LEASE, less the tick in which the last order is given */
#define RESIGN 2    /* resign_pause: TURN - PAUSE */
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

/* ---- State ----------------------------------------------------------------------------------- */

mtype = { none, renewing, renewed_ok, refused, acquiring, acquired, waits };

byte holder = NOBODY;       /* in the store */
byte leaseAge;
byte last = NOBODY;         /* holder of the last term, in the store */
bool settled;               /* that term's holder has waited for its predecessor */
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
  has[h] = false; call[h] = none; renewed[h] = 0; pause[h] = 0; resigning[h] = false; quiet[h] = 0; sentAge[h] = 0
}

proctype Host(byte h) {
  do
  :: atomic { !has[h] && call[h] == none && (holder == NOBODY || holder == h) ->
       call[h] = acquiring; sentAge[h] = 0 }
  :: atomic { has[h] && call[h] == none && !resigning[h] -> call[h] = renewing; sentAge[h] = 0 }
  :: atomic { call[h] == renewed_ok ->
       if
       :: CONFIRMED(h) < renewed[h] -> renewed[h] = CONFIRMED(h)
       :: else
       fi;
       call[h] = none; sentAge[h] = 0 }
  :: atomic { call[h] == refused -> forget(h) }
  :: atomic { (call[h] == acquired || call[h] == waits) && !has[h] ->
       has[h] = true; renewed[h] = CONFIRMED(h);
       pause[h] = (call[h] == waits -> NEW_PAUSE : 0);
       call[h] = none; sentAge[h] = 0 }
  :: atomic { has[h] && !resigning[h] && pause[h] == 0 && IS_RENEWED(h) ->
       assert(lastOrder[1 - h] >= TURN);
       lastOrder[h] = 0;
       if
       :: holder == h && last == h -> settled = true
       :: true
       fi }
  :: atomic { has[h] && !resigning[h] && call[h] == none -> resigning[h] = true; quiet[h] = 0 }
  :: atomic { has[h] && resigning[h] && RESIGNED(h) ->
       if
       :: holder == h -> holder = NOBODY; leaseAge = 0
       :: else
       fi;
       forget(h) }
  :: atomic { has[h] || call[h] != none -> forget(h) }   /* the process ends; its call may be lost with it */
  od
}

/* Carries a call out. Its answer may be lost with the connection. */
inline serve(h) {
  if
  :: call[h] == renewing && holder == h -> leaseAge = 0; call[h] = renewed_ok
  :: call[h] == acquiring && (holder == NOBODY || holder == h) ->
       holder = h; leaseAge = 0;
       if
       :: last == NOBODY || MAY_SKIP(h) -> call[h] = acquired; settled = true
       :: else -> call[h] = waits; settled = false
       fi;
       last = h
  :: else -> call[h] = refused
  fi;
  if
  :: call[h] != refused -> call[h] = none; sentAge[h] = 0
  :: true
  fi
}

proctype Store() {
  do
  :: atomic { holder != NOBODY && leaseAge >= LEASE -> holder = NOBODY; leaseAge = 0 }
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
