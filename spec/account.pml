/*
 * The account of one customer: reserve, spend, settle.
 *
 * N incarnations of daemons share an allowance. Each reserves a slice of it in the
 * account object, spends from it without asking, and settles what it has spent. Any
 * of them may declare another's slice uncertain at any time: leases are not trusted,
 * a slice's holder may be alive, paused or dead. A crash is a pause that never ends;
 * the daemon that restarts is another incarnation with a slice of its own.
 *
 * A write may land at any later time while the version that it is conditional on
 * stands, and never after; its answer may be lost. Reading the account and starting a
 * write on that version is one step, since the write may land late in any case.
 *
 * Checked at every step: settled + open + uncertain never exceeds the allowance; what
 * was used is never more than that sum, nor less than what is settled.
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * DOUBLE_SPEND (counts on a reservation without reading it back), REUSE_AFTER_FREEZE
 * (a dead slice goes back to the allowance), SETTLE_TWICE (no sequence number),
 * SPEND_LEAVING (spends on after handing back), STALE_READ (takes an answer older
 * than one already seen). WITNESS_UNCERTAIN and WITNESS_FULL assert false where a run
 * must be able to get.
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
bool exists[N];        /* slices, by incarnation */
byte open[N];
bool sequence[N];      /* the last bit: one settlement at a time is under way */

/* Writes under way, by their sender. */
bool reserving[N];
byte settling[N];          /* the amount, or 0 */
byte handingBack[N];       /* amount used and not settled, or NONE */
byte declaring[N];         /* the slice, or NONE */

byte used;             /* what was truly used */

#define SUM (settled + uncertain + open[0] + open[1] + open[N - 1] * (N - 2))

inline check() {
	assert(SUM <= ALLOWANCE);
	assert(used <= SUM);
	assert(settled <= used)
}

/* A write has landed: the others are conditional on a version that has passed. */
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
 * Reads the account and brings the daemon's view in line with it. A slice that is gone
 * was declared uncertain: what was spent of it is within that bound, and is forgotten.
 */
inline read() {
	if
	:: !exists[i] -> limit = 0; spent = 0; amount = 0; next = false
	:: exists[i] ->
#ifndef SETTLE_TWICE
		if
		:: amount > 0 && sequence[i] != next ->
			/* The settlement has landed. */
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
	byte limit, spent, amount;    /* amount: of the settlement under way */
	bool next, leaving;
#ifdef STALE_READ
	byte early;
#endif

end:	do
	/* Spending asks nobody. The slice may have been declared uncertain by now. */
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
	/* A settlement whose answer was lost is repeated with the same amount and number. */
	:: atomic { settling[i] == 0 && spent > 0 && exists[i] ->
		read();
		if
		:: spent > 0 && amount == 0 -> amount = spent
		:: else
		fi;
		settling[i] = (amount <= open[i] -> amount : 0) }
	/* Leaving: no spending from here on, then the rest is handed back. */
	:: atomic { handingBack[i] == NONE && exists[i] ->
		read(); leaving = true; handingBack[i] = spent }
	:: atomic { read() }
	/* Another's lease seems to have lapsed. */
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
