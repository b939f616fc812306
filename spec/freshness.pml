/* Freshness of a known API key: router 0 reads the store, router 1 queries
 * router 0. Reads and responses may be late or lost, routers may be suspended
 * or restarted at any moment, and the key is revoked once. A router accepts the
 * key only if its state was confirmed less than BOUND ticks ago, so no router
 * accepts the key BOUND ticks after the revocation or later. Every step of the
 * environment is one atomic choice.
 *
 * Variants that must be rejected:
 * PROVED_ON_ARRIVAL: a state counts as confirmed when the response arrives,
 *     instead of when the read was sent.
 * TOLD_ON_ARRIVAL: the confirmation age that another router reports is
 *     subtracted from the time of arrival, instead of the send time.
 * STEADY_CLOCK: ages are measured on a clock that stops while a host is
 *     suspended.
 * ANY_ANSWER: the response to an earlier read is applied to the pending one.
 */
#define ROUTERS 2
#define LAST_TICK 4    /* ticks of a run */
#define BOUND 2        /* ticks for which a confirmation is valid */
#define MAX_READS 2    /* reads of router 0 in a run; router 1 sends one */
#define READ_SLOTS 4   /* ROUTERS x MAX_READS */

mtype = { unused, pending, responded, closed };

byte clock = 0;
byte steady_clock[ROUTERS];   /* stops while the router is suspended */
bool suspended[ROUTERS];
byte suspensions = 0;
bool restarted = false;
bool revoked = false;         /* the key is revoked */
byte revoked_at = 0;

bool confirmed[ROUTERS];      /* the router has a confirmed state of the key */
bool key_valid[ROUTERS];      /* that state: the key is valid */
byte confirmed_at[ROUTERS];   /* send time of the read that confirmed it */
byte reads_sent[ROUTERS];
byte sent_at[ROUTERS];        /* send time of the last read */
bool awaiting[ROUTERS];       /* the last read has no response yet */

/* Read `number` of `router` is at index router * MAX_READS + number - 1. */
mtype read_state[READ_SLOTS] = unused;
bool response_valid[READ_SLOTS];
byte response_age[READ_SLOTS];

#ifdef STEADY_CLOCK
#define NOW(router) steady_clock[router]
#else
#define NOW(router) clock
#endif
#define READ_SLOT(router, number) (router * MAX_READS + number - 1)

#if defined(PROVED_ON_ARRIVAL)
#define CONFIRMATION_TIME(router, slot) NOW(router)
#elif defined(TOLD_ON_ARRIVAL)
#define CONFIRMATION_TIME(router, slot) (NOW(router) - response_age[slot])
#else
#define CONFIRMATION_TIME(router, slot) (sent_at[router] - response_age[slot])
#endif

#ifdef ANY_ANSWER
#define MATCHES_READ(router, number) awaiting[router]
#else
#define MATCHES_READ(router, number) \
    (awaiting[router] && number == reads_sent[router])
#endif

inline tick()
{
    d_step {
        clock++;
#ifdef STEADY_CLOCK
        if :: !suspended[0] -> steady_clock[0]++ :: else fi;
        if :: !suspended[1] -> steady_clock[1]++ :: else fi
#endif
    }
}

inline send_read(router)
{
    d_step {
        reads_sent[router]++;
        sent_at[router] = NOW(router);
        awaiting[router] = true;
        read_state[READ_SLOT(router, reads_sent[router])] = pending
    }
}

/* The store responds to router 0, and router 0 responds to router 1. */
inline send_response(router, slot)
{
    d_step {
        read_state[slot] = responded;
        if
        :: router == 0 ->
           response_valid[slot] = !revoked; response_age[slot] = 0
        :: else ->
           response_valid[slot] = key_valid[0];
           response_age[slot] = NOW(0) - confirmed_at[0]
        fi
    }
}

/* Resets fields that no later step reads, which merges equivalent states. */
inline close_read(slot)
{
    read_state[slot] = closed; response_valid[slot] = false;
    response_age[slot] = 0
}

inline process_response(router, number, slot)
{
    d_step {
        if
        :: MATCHES_READ(router, number) &&
           response_age[slot] <= sent_at[router] ->
            awaiting[router] = false;
            key_valid[router] = response_valid[slot];
            if
            :: !confirmed[router] ||
               CONFIRMATION_TIME(router, slot) > confirmed_at[router] ->
                confirmed_at[router] = CONFIRMATION_TIME(router, slot)
            :: else
            fi;
            confirmed[router] = true
        :: else
        fi;
        close_read(slot)
    }
}

inline router_step(router)
{
    if
    :: !suspended[router] && !awaiting[router] &&
       reads_sent[router] < MAX_READS - router -> send_read(router)
    :: !suspended[router] && awaiting[router] ->
        awaiting[router] = false /* the read times out */
    :: suspensions < 1 -> d_step { suspensions++; suspended[router] = true }
    :: suspended[router] -> suspended[router] = false
    :: !restarted -> d_step {
        restarted = true; confirmed[router] = false; key_valid[router] = false;
        confirmed_at[router] = 0; awaiting[router] = false }
    :: !suspended[router] && confirmed[router] && key_valid[router] &&
       NOW(router) - confirmed_at[router] < BOUND ->
        /* The router accepts a request with the key. */
        assert(!revoked || clock - revoked_at < BOUND)
    :: true
    fi
}

active proctype environment()
{
    byte router, number, slot;
    do
    :: clock < LAST_TICK -> tick()
    :: clock == LAST_TICK -> break
    :: !revoked -> d_step { revoked = true; revoked_at = clock }
    :: atomic { select(router : 0 .. 1); router_step(router); router = 0 }
    :: atomic {
        select(router : 0 .. 1); select(number : 1 .. MAX_READS);
        slot = READ_SLOT(router, number);
        if
        :: read_state[slot] == pending &&
           (router == 0 || (confirmed[0] && !suspended[0])) ->
            send_response(router, slot)
        :: read_state[slot] == pending -> d_step { close_read(slot) } /* lost */
        :: read_state[slot] == responded && !suspended[router] ->
            process_response(router, number, slot)
        :: else
        fi;
        router = 0; number = 0; slot = 0 }
    od
}
