/* At-most-once ledger of one shard and one key.
 *
 * Routers append entries by create-if-absent of the next number, on condition
 * that the predecessor exists. An answer may get lost after the write took
 * effect; a router may crash and come back without memory, or pause at any
 * step; a compactor deletes a prefix of the log behind a horizon.
 *
 * EARLY_DISPATCH: a router dispatches before its create is confirmed.
 * NO_PREDECESSOR: a create does not check that the predecessor exists.
 * Both must be rejected.
 */
#define ROUTERS 2
#define ENTRIES 5

#define NONE 0
#define CLAIM 1    /* claim by the router in owner[] */
#define RELEASE 2  /* release by the router in owner[] */
#define HORIZON 3  /* the key lies beyond the horizon from here on */

byte kind[ENTRIES + 2];   /* entries 1..ENTRIES; NONE is absent */
byte owner[ENTRIES + 2];  /* attempt that wrote the entry */
bool deleted[ENTRIES + 2];
byte runs = 0;            /* executions of the key's call */
byte attempts = 0;        /* attempt numbers, unique across restarts */
bool expired = false;     /* a HORIZON entry exists */

#ifdef NO_PREDECESSOR
#define FOLLOWS(n) true
#else
#define FOLLOWS(n) ((n == 1 && kind[1] == NONE) || (n > 1 && EXISTS(n - 1)))
#endif

#define EXISTS(n) (kind[n] != NONE && !deleted[n])

/* Replays the log: sets next to the first number not seen, holder to the
 * attempt that holds the claim, and gone if the key is beyond the horizon. */
inline replay()
{
    d_step {
        next = 1; holder = 0; gone = false;
        /* The oldest entry that is left; earlier ones were deleted. */
        do
        :: next <= ENTRIES && deleted[next] -> next++
        :: else -> break
        od;
        do
        :: next <= ENTRIES && EXISTS(next) ->
            if
            :: kind[next] == CLAIM && holder == 0 && !gone ->
                holder = owner[next]
            :: kind[next] == RELEASE && holder == owner[next] -> holder = 0
            :: kind[next] == HORIZON -> gone = true; holder = 0
            :: else
            fi;
            next++
        :: else -> break
        od
    }
}

/* Creates entry next at the KV service; ok tells whether it was created. */
inline create(what, who)
{
    d_step {
        ok = false;
        if
        :: next <= ENTRIES && !EXISTS(next) && FOLLOWS(next) ->
              kind[next] = what; owner[next] = who; deleted[next] = false;
              ok = true;
              expired = expired || what == HORIZON
        :: else
        fi
    }
}

inline dispatch_call()
{
    d_step { runs++; assert(runs <= 1) }
}

proctype router()
{
    byte next, holder, me;
    bool gone, ok;
    byte lives = 0;
restart:
    attempts < 5;
    atomic { attempts++; me = attempts; lives++ };
read_log:
    replay();
    if
    :: gone || (holder != 0 && holder != me) -> goto finished
    :: holder == me -> goto dispatch
    :: next > ENTRIES -> goto finished
    :: else
    fi;
#ifdef EARLY_DISPATCH
    dispatch_call();
#endif
    create(CLAIM, me);
    if
    :: goto read_log            /* lost answer: the log tells */
    :: ok -> goto dispatch
    :: !ok -> goto read_log
    :: lives < 2 -> goto restart /* crash */
    fi;
dispatch:
    if
    :: lives < 2 -> goto restart /* crash before the call */
    :: true ->                   /* the connection failed: surely not sent */
        replay();
        if
        :: next <= ENTRIES -> create(RELEASE, me)
        :: else
        fi;
        goto finished
    :: true ->
#ifndef EARLY_DISPATCH
        dispatch_call()
#else
        skip
#endif
    fi;
finished:
    skip
}

/* Raises the horizon, then deletes entries before the last one. */
proctype compactor()
{
    byte next, holder, n;
    bool gone, ok;
    replay();
    if
    :: next > 1 && next <= ENTRIES -> create(HORIZON, 0)
    :: else
    fi;
    if
    :: expired ->
        n = 1;
        do
        :: n < ENTRIES && EXISTS(n) && EXISTS(n + 1) ->
            deleted[n] = true; n++
        :: n < ENTRIES && !EXISTS(n) && kind[n] != NONE -> n++
        :: else -> break
        od
    :: else
    fi
}

init
{
    atomic { run router(); run router(); run compactor() }
}
