/* At-most-once execution through the ledger, for one shard and one key.
 *
 * Routers append entries by create-if-absent of the next number, on condition
 * that the predecessor exists. The response to a write that took effect may be
 * lost; a router may crash and restart without memory, or pause at any step; a
 * compactor deletes the entries that precede a low-water mark.
 *
 * Variants that must be rejected:
 * EARLY_DISPATCH: a router dispatches the call before its claim is confirmed.
 * NO_PREDECESSOR: an append does not check that the predecessor exists.
 */
#define ROUTERS 2
#define ENTRIES 5

#define NONE 0
#define CLAIM 1           /* claim by the attempt in writer[] */
#define RELEASE 2         /* release by the attempt in writer[] */
#define LOW_WATER_MARK 3  /* the key has expired from this entry on */

byte kind[ENTRIES + 2];    /* entries 1..ENTRIES; NONE is absent */
byte writer[ENTRIES + 2];  /* attempt that wrote the entry */
bool deleted[ENTRIES + 2];
byte executions = 0;       /* executions of the key's call */
byte attempts = 0;         /* last attempt number; unique across restarts */
bool has_low_water_mark = false;

#ifdef NO_PREDECESSOR
#define PREDECESSOR_PRESENT(n) true
#else
#define PREDECESSOR_PRESENT(n) \
    ((n == 1 && kind[1] == NONE) || (n > 1 && EXISTS(n - 1)))
#endif

#define EXISTS(n) (kind[n] != NONE && !deleted[n])

/* Replays the log: sets next_entry to the number that follows the last entry,
 * holder to the attempt that holds the claim or 0, and key_expired if there is
 * a low-water mark. */
inline replay()
{
    d_step {
        next_entry = 1; holder = 0; key_expired = false;
        /* Skips the deleted prefix up to the oldest remaining entry. */
        do
        :: next_entry <= ENTRIES && deleted[next_entry] -> next_entry++
        :: else -> break
        od;
        do
        :: next_entry <= ENTRIES && EXISTS(next_entry) ->
            if
            :: kind[next_entry] == CLAIM && holder == 0 && !key_expired ->
                holder = writer[next_entry]
            :: kind[next_entry] == RELEASE && holder == writer[next_entry] ->
                holder = 0
            :: kind[next_entry] == LOW_WATER_MARK ->
                key_expired = true; holder = 0
            :: else
            fi;
            next_entry++
        :: else -> break
        od
    }
}

/* Creates entry next_entry at the store; created records success. */
inline create(entry_kind, entry_writer)
{
    d_step {
        created = false;
        if
        :: next_entry <= ENTRIES && !EXISTS(next_entry) &&
           PREDECESSOR_PRESENT(next_entry) ->
              kind[next_entry] = entry_kind; writer[next_entry] = entry_writer;
              deleted[next_entry] = false;
              created = true;
              has_low_water_mark =
                  has_low_water_mark || entry_kind == LOW_WATER_MARK
        :: else
        fi
    }
}

inline dispatch_call()
{
    d_step { executions++; assert(executions <= 1) }
}

proctype router()
{
    byte next_entry, holder, attempt;
    bool key_expired, created;
    byte starts = 0;
restart:
    attempts < 5;
    atomic { attempts++; attempt = attempts; starts++ };
read_log:
    replay();
    if
    :: key_expired || (holder != 0 && holder != attempt) -> goto finished
    :: holder == attempt -> goto dispatch
    :: next_entry > ENTRIES -> goto finished
    :: else
    fi;
#ifdef EARLY_DISPATCH
    dispatch_call();
#endif
    create(CLAIM, attempt);
    if
    :: goto read_log            /* response lost: read the log */
    :: created -> goto dispatch
    :: !created -> goto read_log
    :: starts < 2 -> goto restart /* crash */
    fi;
dispatch:
    if
    :: starts < 2 -> goto restart /* crash before the call */
    :: true ->                   /* connection failed: the call was not sent */
        replay();
        if
        :: next_entry <= ENTRIES -> create(RELEASE, attempt)
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

/* Appends a low-water mark, then deletes the entries before the last one. */
proctype compactor()
{
    byte next_entry, holder, n;
    bool key_expired, created;
    replay();
    if
    :: next_entry > 1 && next_entry <= ENTRIES -> create(LOW_WATER_MARK, 0)
    :: else
    fi;
    if
    :: has_low_water_mark ->
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
