/*
 * Model of claims, which make a request with an idempotency key run at most once.
 *
 * There is one idempotency key. The caller submits it N times, to any daemon, without
 * necessarily waiting for an answer in between. Every submission is one Attempt. The claim
 * of the key is an object in the platform's store and is written only conditionally on the
 * version read.
 *
 * Faults: a write may take effect at any later time or never, whether or not its sender
 * still waits for the answer (this covers outages, slow calls and lost answers); any step
 * may be delayed without bound; a daemon may crash and lose its memory; a request sent to a
 * target may run at any later time or never.
 *
 * Versions are not numbered. A pending write that is conditional on a replaced version can
 * never take effect, so it is dropped when the version is replaced. The remaining ones are
 * conditional on the current version or on absence. The sender cannot distinguish a refused
 * write from a lost one and reads the claim in both cases. Several keys in one object would
 * allow fewer behaviours, because pending creates would be dropped as well.
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * NO_READBACK        sends after the claim was written, without reading it back
 * SEND_BEFORE_CLAIM  sends before the claim is written
 * FORGET_ON_RESTART  a restarted daemon states that an attempt that it forgot has not run
 * RETRY_UNKNOWN      sends again although the outcome of the last send is unknown
 * RELEASE_NOT_RUN    answers not_run after a release
 * LOSER_NOT_RUN      answers not_run while another submission owns the claim
 * OUTAGE_NOT_RUN     answers not_run for the key when only the attempt is known not to run
 * AGE_BEFORE_CLAIM   checks the key's age before the claim instead of after it
 * SEAL_BLIND         answers not_run from a sealed record even if the key has expired
 * The switches WITNESS_TAKEOVER, WITNESS_SEAL and WITNESS_REPEAT assert false at states that
 * a run must be able to reach, which shows that the model does not hold vacuously.
 */
#ifndef N
#define N 2            /* submissions */
#endif
#ifndef SLOTS
#define SLOTS 2        /* the most pending writes of one attempt */
#endif
#ifndef SENDS
#define SENDS 2        /* the most sends of one attempt */
#endif

mtype = { absent, running, completed, unknown, sealed };  /* what a claim records */
mtype = { silent, whole, refused };                       /* the target's replies */

/* The claim in the store. Owner 0 means that there is no claim. */
byte  owner = 0;
mtype outcome = absent;

/* Pending writes, by attempt. A write with the outcome absent deletes the claim. */
typedef Write { bool live; bool create; mtype outcome };
Write writes[(N + 1) * SLOTS];

/* The daemons. */
bool started[N + 1];
#ifdef FORGET_ON_RESTART
bool forgotten[N + 1];    /* the attempt's daemon crashed and has lost its memory of it */
#endif
bool gaveUp[N + 1];       /* the daemon remembers that the attempt will never send and that
                           * nothing it sent has run */

/* The network to the target, and the state that the checks need. */
byte  inFlight[N + 1];    /* sends that may still run */
mtype answer[N + 1];      /* what the target replied to the last send */
bool  expired = false;    /* the key is older than the retention of its record */
byte  runs = 0;
bool  mayNotRun[N + 1];   /* submitted before a not_run answer, so it must not run later */
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

/* Says not_run unless the key has expired. A sealed record of an expired key may have
 * replaced an earlier record that was collected. */
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

/* Answers that this attempt has not run. That makes a repetition with the same key safe; it
 * says nothing about other attempts. */
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
 * Starts a write conditional on the version just read. Read and start are one step, since
 * the write may take effect at any later time in any case. If no slot is free, the
 * write replaces an older one, which counts as lost.
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
 * The reply to a write is not modelled: it contains nothing that a read at the moment of the
 * write's effect would not, and the attempt may read at that moment. An attempt that reads
 * later has lost the reply.
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

look:	/* Nothing has been sent. The attempt may give up, since a reply can take long. */
	atomic {
		if
#ifdef AGE_BEFORE_CLAIM
		:: expired -> goto finished
#endif
		:: owner == id && outcome == running ->
			/* The attempt's write took effect although its answer was lost. Since gaveUp
			 * is still false, only this attempt changes the claim from here on. */
			goto owned
		:: owner == 0 ->
			/* Absence proves nothing about the attempt's earlier writes, which may still
			 * take effect. So it writes the claim again until the store shows an owner. */
			startWrite(running)
		:: owner != 0 && owner != id && outcome == running ->
			/* The attempt queries the owner's daemon. That daemon confirms only what it
			 * remembers; after a restart it remembers nothing, which proves nothing. */
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
				goto finished   /* answers "still running", without an outcome */
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

owned:	/* The attempt owns the claim until it releases the claim or the record is collected.
	 * The key's age is checked only now: if an earlier record of the key had been collected
	 * before this claim, the key would be too old by now, however long the attempt paused. */
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
			/* The target states that this send did not run, so another is safe. */
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

record:	/* The caller has its answer. If the write never succeeds, the claim remains running. */
	atomic {
		if
		:: owner == id && outcome == running -> startWrite(result)
		:: goto finished    /* or a crash */
		fi
	};
	goto record;

giveUp:	/* Final: no send follows. Only from here on may the daemon confirm that to others. */
	gaveUp[id] = true;

release:
	atomic {
		if
		:: owner == id && outcome == running ->
			/* Release: the key is free again. It says nothing about other submissions. */
			startWrite(absent)
		:: owner == 0 || (owner == id && outcome == running) ->
			/* Seal: the record refuses every other submission of this key, also those
			 * that have not reached the store yet. */
			startWrite(sealed)
		:: owner != 0 && outcome == sealed -> sayNotRunUnlessOld(); goto finished
		:: owner != id || outcome == running ->
#ifdef RELEASE_NOT_RUN
			if
			:: owner == 0 && !expired -> sayNotRun()    /* the attempt's claim was released */
			:: else
			fi;
#endif
			sayAttemptNotRun();
			goto finished
		:: goto crash
		fi
	};
	goto release;

crash:	/* The attempt's daemon restarts and remembers nothing of the attempt. */
#ifdef FORGET_ON_RESTART
	forgotten[id] = true;
#endif

finished:
	atomic { sends = 0; result = absent; answer[id] = silent };
	gaveUp[id] -> gaveUp[id] = false    /* a later crash */
}

/* Drops the pending updates: their version was replaced, so they can never take effect. */
inline dropUpdates() {
	for (other : SLOTS .. (N + 1) * SLOTS - 1) {
		writes[other].live = writes[other].live && writes[other].create;
		writes[other].outcome = (writes[other].live -> writes[other].outcome : absent)
	}
	other = 0
}

/* The store applies the write of one slot, in any order relative to the others, if the version
 * that it is conditional on is current. */
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

/* The key expires; from then on its records are deleted, repeatedly. */
proctype Collect() {
	byte other;
	expired = true;
end:	do
	:: atomic { owner != 0 -> owner = 0; outcome = absent; dropUpdates() }
	od
}

/* The target handles an attempt's sends. A send that is never handled is lost. */
proctype Target(byte id) {
end:	do
	:: atomic {
		inFlight[id] > 0 ->
		inFlight[id]--;
		if
		:: runs++;
			assert(runs <= 1);          /* at most once */
			assert(!mayNotRun[id]);     /* no not_run answer covered it */
#ifndef RELEASE_NOT_RUN
			assert(!saidNotRun);        /* nor the key, which is closed permanently */
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
