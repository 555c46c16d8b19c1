/*
 * Model of one customer's account: reserve, spend, settle.
 *
 * N incarnations of daemons share an allowance. Each incarnation reserves a slice of the
 * allowance in the account object, spends from the slice without a query to the store, and
 * settles what it has spent. Any of them may declare another's slice uncertain at any time:
 * the model does not rely on leases, so the owner of such a slice may be alive, paused or
 * dead. A crash is a pause that never ends; a restarted daemon is another incarnation with
 * another slice.
 *
 * A write may take effect at any later time while the version that it is conditional on is
 * current, and never afterwards; its answer may be lost. Reading the account and starting a
 * write on that version is one step, since the write may take effect late in any case.
 *
 * Checked at every step: settled + open + uncertain never exceeds the allowance; the amount
 * used is never more than that sum and never less than the settled amount.
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * DOUBLE_SPEND        relies on a reservation without reading it back
 * REUSE_AFTER_FREEZE  returns a declared slice to the allowance instead of counting it as
 *                     uncertain
 * SETTLE_TWICE        settles without a sequence number
 * SPEND_LEAVING       continues to spend after handing the slice back
 * STALE_READ          accepts an answer that is older than one already seen
 * WITNESS_UNCERTAIN and WITNESS_FULL assert false at states that a run must be able to reach,
 * which shows that the model does not hold vacuously.
 */
#ifndef N
#define N 3
#endif
#ifndef ALLOWANCE
#define ALLOWANCE 3
#endif
#define NONE 255

/* The account object. */
byte settled;
byte uncertain;
bool exists[N];        /* whether an incarnation has a slice */
byte open[N];          /* what is reserved in the slice and not settled */
bool sequence[N];      /* last bit of the sequence number; enough because only one settlement
                        * is pending at a time */

/* Pending writes, by their sender. */
bool reserving[N];
byte settling[N];          /* the amount to settle, or 0 for no write */
byte handingBack[N];       /* the amount used and not settled, or NONE for no write */
byte declaring[N];         /* the slice to declare uncertain, or NONE for no write */

byte used;             /* the amount really used, which no daemon knows */

#define SUM (settled + uncertain + open[0] + open[1] + open[N - 1] * (N - 2))

inline check() {
	assert(SUM <= ALLOWANCE);
	assert(used <= SUM);
	assert(settled <= used)
}

/* A write has taken effect. The other pending writes are conditional on the replaced version,
 * so they are dropped. */
inline landed() {
	for (j : 0 .. N - 1) {
		reserving[j] = false; settling[j] = 0; handingBack[j] = NONE; declaring[j] = NONE
	}
	j = 0;
	check()
}

proctype Store(byte i) {
	byte j;
end:	do
	:: atomic { reserving[i] ->
		exists[i] = true;
		open[i]++;
		landed() }
	:: atomic { settling[i] > 0 ->
		settled = settled + settling[i];
		open[i] = open[i] - settling[i];
		sequence[i] = !sequence[i];
		landed() }
	:: atomic { handingBack[i] != NONE ->
		settled = settled + handingBack[i];
		exists[i] = false; open[i] = 0; sequence[i] = false;
		landed() }
	:: atomic { declaring[i] != NONE ->
		j = declaring[i];
#ifndef REUSE_AFTER_FREEZE
		uncertain = uncertain + open[j];
#endif
		exists[j] = false; open[j] = 0; sequence[j] = false;
		landed() }
	od
}

/*
 * Reads the account and updates the daemon's view from it. A slice that no longer exists was
 * declared uncertain or handed back. What was spent from it is within the amount that this
 * counted, so the daemon forgets it.
 */
inline read() {
	if
	:: !exists[i] -> limit = 0; spent = 0; amount = 0; next = false
	:: exists[i] ->
#ifndef SETTLE_TWICE
		if
		:: amount > 0 && sequence[i] != next ->
			/* The settlement has taken effect. */
			spent = spent - amount;
			amount = 0;
			next = sequence[i]
		:: else
		fi;
#endif
		limit = open[i]
	fi
}

proctype Daemon(byte i) {
	byte limit, spent, amount;    /* amount of the pending settlement, or 0 */
	bool next, leaving;
#ifdef STALE_READ
	byte early;
#endif

end:	do
	/* Spending reads nothing from the store, so the slice may have been declared uncertain
	 * by now. */
#ifdef SPEND_LEAVING
	:: atomic { spent < limit ->
#else
	:: atomic { spent < limit && !leaving ->
#endif
		spent++; used++; check();
#ifdef WITNESS_FULL
		assert(used < ALLOWANCE)
#endif
	}
	:: atomic { !reserving[i] && !leaving && SUM < ALLOWANCE ->
		read(); reserving[i] = true;
#ifdef DOUBLE_SPEND
		limit++
#endif
	}
	/* A settlement whose answer was lost is repeated with the same amount and sequence
	 * number. */
	:: atomic { settling[i] == 0 && spent > 0 && exists[i] ->
		read();
		if
		:: spent > 0 && amount == 0 -> amount = spent
		:: else
		fi;
		settling[i] = (amount <= open[i] -> amount : 0) }
	/* Leaving: the daemon stops spending and then hands the rest of the slice back. */
	:: atomic { handingBack[i] == NONE && exists[i] ->
		read(); leaving = true; handingBack[i] = spent }
	:: atomic { read() }
	/* The daemon believes that another incarnation's lease has expired. */
	:: atomic { declaring[i] == NONE ->
		if
		:: i != 0 && exists[0] -> declaring[i] = 0
		:: i != 1 && exists[1] -> declaring[i] = 1
		:: i != N - 1 && exists[N - 1] -> declaring[i] = N - 1
		:: else
		fi;
#ifdef WITNESS_UNCERTAIN
		assert(!(uncertain > 0 && settled > 0))
#endif
	}
#ifdef STALE_READ
	:: atomic { early = open[i] }
	:: atomic { exists[i] -> limit = early }
#endif
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. N - 1) {
			handingBack[i] = NONE;
			declaring[i] = NONE
		}
		for (i : 0 .. N - 1) { run Store(i); run Daemon(i) }
	}
}
