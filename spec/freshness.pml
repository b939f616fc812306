/* Proof that a key is still valid: router 0 reads the store, router 1 asks
 * router 0. Calls and answers may be late, routers may be suspended, cut off or
 * restarted at any moment, and a key is taken away once. Whoever accepts the key
 * relies on a proof that is younger than BOUND, so nobody does so BOUND after it
 * was taken away.
 *
 * Variants that must be rejected:
 * PROVED_ON_ARRIVAL: a proof counts from the arrival of its answer.
 * TOLD_ON_ARRIVAL: the age that another router tells counts from the arrival.
 * STEADY_CLOCK: ages are taken on a clock that stops while a host is suspended.
 * ANY_ANSWER: an answer to an earlier call counts for the one in progress.
 */
#define ROUTERS 2
#define LAST 5     /* ticks of a run */
#define BOUND 2    /* ticks for which a proof counts */
#define CALLS 2    /* calls of each router */
#define NONE 255

byte clock = 0;
byte own_clock[ROUTERS];
bool suspended[ROUTERS];
bool taken = false;         /* the key is taken away */
byte taken_at = NONE;

bool known[ROUTERS];        /* there is a proof */
bool valid[ROUTERS];        /* the key counts as valid */
byte proven[ROUTERS];       /* when the call was sent that proved it */

/* Answers: number of the call, whether the key is valid, age of the proof. */
chan answers[ROUTERS] = [2] of { byte, bool, byte };

#ifdef STEADY_CLOCK
#define NOW(me) own_clock[me]
#else
#define NOW(me) clock
#endif

proctype ticker()
{
    do
    :: clock < LAST ->
        d_step {
            clock++;
            if :: !suspended[0] -> own_clock[0]++ :: else fi;
            if :: !suspended[1] -> own_clock[1]++ :: else fi
        }
    :: clock == LAST -> break
    od
}

proctype operator()
{
    d_step { taken = true; taken_at = clock }
}

proctype suspender()
{
    byte me;
    select(me : 0 .. 1);
    suspended[me] = true;
    suspended[me] = false
}

/* The store, or router 0 for the asks of router 1, answers call `number`. */
proctype answerer(byte to, number)
{
    if
    :: to == 0 -> answers[0]!number, !taken, 0
    :: to == 1 && known[0] ->
        atomic {
            !suspended[0];
            /* A proof of the clock's start may be older than a byte tells. */
            answers[1]!number, valid[0], NOW(0) - proven[0]
        }
    :: true     /* lost */
    fi
}

inline adopt(me, is_valid, as_of)
{
    d_step {
        valid[me] = is_valid;
        if
        :: !known[me] || as_of > proven[me] -> proven[me] = as_of
        :: else
        fi;
        known[me] = true
    }
}

proctype router(byte me)
{
    byte sent = 0;
    byte calls = 0;
    byte number, age;
    bool waiting = false;
    bool is_valid;
    bool restarted = false;
    do
    :: atomic { !suspended[me] && calls < CALLS && !waiting ->
        calls++;
        sent = NOW(me);
        waiting = true;
        run answerer(me, calls) }
    :: atomic { !suspended[me] && answers[me]?[number, is_valid, age] ->
        answers[me]?number, is_valid, age;
#ifdef ANY_ANSWER
        if
        :: waiting ->
#else
        if
        :: waiting && number == calls ->
#endif
            waiting = false;
            if
            :: age <= sent ->
#ifdef PROVED_ON_ARRIVAL
                adopt(me, is_valid, NOW(me))
#else
#ifdef TOLD_ON_ARRIVAL
                adopt(me, is_valid, NOW(me) - age)
#else
                adopt(me, is_valid, sent - age)
#endif
#endif
            :: else
            fi
        :: else
        fi }
    :: !suspended[me] && waiting -> waiting = false      /* time is up */
    :: d_step { !suspended[me] && !restarted ->
        restarted = true; known[me] = false; waiting = false }
    :: d_step { !suspended[me] && known[me] && valid[me] &&
                NOW(me) - proven[me] < BOUND ->
        /* A request with the key is accepted. */
        assert(!taken || clock - taken_at < BOUND) }
    :: clock == LAST -> break
    od
}

init
{
    atomic {
        run ticker(); run operator();
        run suspender();
        run router(0); run router(1)
    }
}
