/*
 * At most once by claims.
 *
 * One idempotency key. The caller submits it N times, to any daemon; it need not
 * wait for an answer in between. Every submission is one Attempt. A key's claim is
 * kept in the platform's store and written only conditionally on the version read.
 *
 * Faults: a write may take effect at any later time, or never, whether or not its
 * sender still waits for the answer (this covers outages, slow calls and lost
 * answers); any step may be delayed without bound; a daemon may crash and forget
 * everything; a request sent to a target may run at any later time, or never.
 *
 * Versions are not numbers here. Of the writes under way, those conditional on a
 * version that has passed can never land, so they vanish with the write that passed
 * them; what is left is conditional on the version that stands, or on absence. A
 * refused write and a lost one look alike to the sender, who reads in both cases.
 * Many keys in one object give fewer behaviours: creates vanish there too.
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * NO_READBACK, SEND_BEFORE_CLAIM, FORGET_ON_RESTART, RETRY_UNKNOWN,
 * RELEASE_NOT_RUN, LOSER_NOT_RUN, OUTAGE_NOT_RUN, AGE_BEFORE_CLAIM, SEAL_BLIND.
 * Switches that assert false where a run must be able to get (not vacuous):
 * WITNESS_TAKEOVER, WITNESS_SEAL, WITNESS_REPEAT.
 */
#ifndef N
#define N 2            /* submissions */
#endif
#ifndef SLOTS
#define SLOTS 2        /* writes of one attempt that may be under way */
#endif
#ifndef SENDS
#define SENDS 2        /* sends of one attempt */
#endif

mtype = { absent, running, completed, unknown, sealed };  /* what a claim records */
mtype = { silent, whole, refused };                       /* the target's replies */

/* The claim. Owner 0 means that there is none. */
byte  owner = 0;
mtype outcome = absent;

/* Writes under way, by attempt; outcome absent deletes the claim. */
typedef Write { bool live; bool create; mtype outcome };
Write writes[(N + 1) * SLOTS];

/* The daemons. */
bool started[N + 1];
#ifdef FORGET_ON_RESTART
bool forgotten[N + 1];    /* its daemon crashed, and knows nothing of it now */
#endif
bool gaveUp[N + 1];       /* the daemon's memory: will never send, and nothing sent ran */

/* The network to the target, and what is checked. */
byte  inFlight[N + 1];    /* sends that may still run */
mtype answer[N + 1];      /* what the target replied to the last send */
bool  expired = false;    /* the key is older than the time its record is kept */
byte  runs = 0;
bool  mayNotRun[N + 1];   /* submitted before an answer said not_run */
bool  saidNotRun = false;

inline sayNotRun() {
	/* The request has not run, and no earlier submission may run it later. */
	atomic {
		assert(runs == 0);
		for (k : 1 .. N) {
			assert(inFlight[k] == 0);
			mayNotRun[k] = (started[k] -> true : mayNotRun[k])
		}
		saidNotRun = true;
		k = 0
	}
}

/* A sealed record of an old key may stand where an earlier record was collected. */
inline sayNotRunUnlessOld() {
	if
#ifdef SEAL_BLIND
	:: true -> sayNotRun()
#else
	:: !expired -> sayNotRun()
	:: expired
#endif
	fi
}

inline sayCompleted() { assert(runs == 1) }

/* Speaks of this attempt only: repeating with the same key is safe, no more is said. */
inline sayAttemptNotRun() {
#ifdef OUTAGE_NOT_RUN
	sayNotRun()
#elif defined(SEND_BEFORE_CLAIM)
	skip
#else
	assert(inFlight[id] == 0)
#endif
}

/*
 * Starts a conditional write on the version just read. Read and start are one step
 * here, since the write may land any time later in any case. Reusing a slot drops
 * the older write: it was lost.
 */
inline startWrite(newOutcome) {
	k = id * SLOTS;
#if SLOTS > 1
	if
	:: !writes[k].live
	:: writes[k].live -> k++
	:: writes[k].live && writes[k + 1].live
	fi;
#endif
	writes[k].live = true;
	writes[k].create = (owner == 0);
	writes[k].outcome = newOutcome;
	k = 0
}

/*
 * A write's reply is not modelled: it tells nothing that a read at the moment of
 * landing would not, and the attempt may read at that moment. Not reading in time
 * is a lost answer.
 */
proctype Attempt(byte id) {
	byte k, sends;
	mtype result = absent;

	atomic {
		started[id - 1] -> started[id] = true;    /* symmetry: attempts start in order */
#ifdef SEND_BEFORE_CLAIM
		inFlight[id]++
#endif
	};

look:	/* Nothing has been sent. A reply may be long in coming, so giving up is allowed. */
	atomic {
		if
#ifdef AGE_BEFORE_CLAIM
		:: expired -> goto finished
#endif
		:: owner == id && outcome == running ->
			/* Our write took effect though its answer was lost. Only we change the
			 * claim from here on, since gaveUp is still false. */
			goto owned
		:: owner == 0 ->
			/* Absent proves nothing of our earlier writes: they may still land, so
			 * the claim is written anew until the store shows an owner. */
			startWrite(running)
		:: owner != 0 && owner != id && outcome == running ->
			/* Ask the owner's daemon. It vouches only for what it remembers: after
			 * a restart it knows nothing, which is no proof. */
			if
#ifdef FORGET_ON_RESTART
			:: gaveUp[owner] || forgotten[owner] -> startWrite(running)
#else
			:: gaveUp[owner] -> startWrite(running)
#endif
			:: true ->
#ifdef LOSER_NOT_RUN
				sayNotRun();
#endif
				goto finished   /* "still running": not a word on the outcome */
			fi
		:: owner != 0 && outcome != running ->
			if
			:: outcome == completed ->
				sayCompleted();
#ifdef WITNESS_REPEAT
				assert(false);
#endif
			:: outcome == sealed -> sayNotRunUnlessOld()
			:: outcome == unknown
			fi;
			goto finished
		:: goto giveUp
		:: goto crash
		fi
	};
#ifdef NO_READBACK
	goto owned;
#else
	goto look;
#endif

owned:	/* The claim stands in our name, and stays so until we release it or it is collected.
	 * The age is looked at only now: had the key's record been collected before our
	 * claim, the key would be too old by now, however long we paused. */
	if
#ifndef AGE_BEFORE_CLAIM
	:: !expired -> goto send
#else
	:: goto send
#endif
	:: goto giveUp
	fi;

send:
	atomic { answer[id] = silent; sends++; inFlight[id]++ };
	atomic {
		if
		:: answer[id] == whole -> sayCompleted(); result = completed
		:: answer[id] == refused ->
			/* The target's own word: this send did not run, so another is safe. */
			if
			:: sends < SENDS -> goto send
			:: goto giveUp
			fi
		:: goto crash
		:: true ->
#ifdef RETRY_UNKNOWN
			if
			:: sends < SENDS -> goto send
			:: else
			fi;
#endif
			result = unknown
		fi
	};

record:	/* The caller has its answer. Should this never succeed, the claim stands as running. */
	atomic {
		if
		:: owner == id && outcome == running -> startWrite(result)
		:: goto finished    /* or a crash */
		fi
	};
	goto record;

giveUp:	/* Final: no send follows. Only now may the daemon vouch for it to others. */
	gaveUp[id] = true;

release:
	atomic {
		if
		:: owner == id && outcome == running ->
			/* Release: the key is free again. This says nothing of other submissions. */
			startWrite(absent)
		:: owner == 0 || (owner == id && outcome == running) ->
			/* Seal: the record itself refuses every other submission of this key,
			 * also those that have not reached the store yet. */
			startWrite(sealed)
		:: owner != 0 && outcome == sealed -> sayNotRunUnlessOld(); goto finished
		:: owner != id || outcome == running ->
#ifdef RELEASE_NOT_RUN
			if
			:: owner == 0 && !expired -> sayNotRun()    /* our own claim is gone again */
			:: else
			fi;
#endif
			sayAttemptNotRun();
			goto finished
		:: goto crash
		fi
	};
	goto release;

crash:	/* Its daemon restarts and knows nothing of the attempt. */
#ifdef FORGET_ON_RESTART
	forgotten[id] = true;
#endif

finished:
	atomic { sends = 0; result = absent; answer[id] = silent };
	gaveUp[id] -> gaveUp[id] = false    /* a later crash */
}

/* Updates of a version that was passed can never land. */
inline dropUpdates() {
	for (other : SLOTS .. (N + 1) * SLOTS - 1) {
		writes[other].live = writes[other].live && writes[other].create;
		writes[other].outcome = (writes[other].live -> writes[other].outcome : absent)
	}
	other = 0
}

/* The store applies the write of one slot, in any order with others, if its version stands. */
proctype Store(byte w) {
	byte other;
end:	do
	:: atomic {
		writes[w].live ->
		writes[w].live = false;
		if
		:: writes[w].create && owner != 0    /* refused */
		:: !writes[w].create || owner == 0 ->
#ifdef WITNESS_TAKEOVER
			assert(writes[w].create || owner == w / SLOTS);
#endif
			owner = (writes[w].outcome == absent -> 0 : w / SLOTS);
			outcome = writes[w].outcome;
			dropUpdates();
#ifdef WITNESS_SEAL
			assert(outcome != sealed);
#endif
		fi;
		writes[w].create = false;
		writes[w].outcome = absent
	}
	od
}

/* Time passes, and then old records are deleted, again and again. */
proctype Collect() {
	byte other;
	expired = true;
end:	do
	:: atomic { owner != 0 -> owner = 0; outcome = absent; dropUpdates() }
	od
}

/* The target takes up an attempt's sends; one that is never taken up is lost. */
proctype Target(byte id) {
end:	do
	:: atomic {
		inFlight[id] > 0 ->
		inFlight[id]--;
		if
		:: runs++;
			assert(runs <= 1);          /* at most once */
			assert(!mayNotRun[id]);     /* no not_run was said of it */
#ifndef RELEASE_NOT_RUN
			assert(!saidNotRun);        /* nor of the key: it is closed for good */
#endif
			answer[id] = whole
		:: answer[id] = refused
		fi
	}
	od
}

init {
	byte id;
	atomic {
		started[0] = true;
		run Collect();
		for (id : 1 .. N) {
			answer[id] = silent;
			run Target(id);
			run Attempt(id)
		}
		for (id : SLOTS .. (N + 1) * SLOTS - 1) { run Store(id) }
	}
}
