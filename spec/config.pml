/*
 * Model of configuration: accepted changes reach three daemons and are never reverted.
 *
 * The store holds two objects. Revision 1 created object 1; two operators then edit object
 * 0, each conditionally on the version that it read, and a third deletes object 1. Daemons 0
 * and 1 receive changes from the store; daemon 2 is cut off from it permanently. Each daemon
 * sends its peers what they lack: the changes since their revision, or a snapshot. A message
 * may arrive late, after newer ones, or never; a daemon may restart without state.
 *
 * The model does not store messages in transit. A message leads to a revision that its
 * sender once had, so a daemon may at any time receive any such revision.
 *
 * Checked: a daemon holds exactly the objects of the revision that it has applied; that
 * revision never decreases while the daemon runs; no accepted edit is lost; once restarts
 * stop, all daemons reach the last revision (there is no infinite run, pan -l, and a check
 * in every end state).
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * APPLY_ANY       a daemon applies a snapshot without comparing revisions
 * SNAPSHOT_BLIND  an older snapshot overwrites the objects but not the revision
 * NO_PEER         daemons send nothing to daemon 2, nor it to them (breaks progress)
 * NO_TOMBSTONE    a daemon sends changes since a revision older than its snapshot, whose
 *                 deletions it does not know
 * BLIND_WRITE     an operator writes unconditionally
 * SAFETY_ONLY leaves out the check of progress.
 */
#define LAST 4         /* the last revision */
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* The store: which object each revision changed, and whether it deleted it. */
byte revision = 1;
byte changed[LAST + 1];
bool deleted[LAST + 1];
byte content;          /* of object 0: one bit for each edit that it contains */
byte accepted;         /* edits whose write the store accepted */

/* The daemons: the revision in force, the version of each object (0: absent), and the
 * revision of the last snapshot. A daemon knows no deletion before its snapshot. */
byte applied[3];
byte version[6];
byte since[3];

/* The highest revision that a daemon ever had, in any incarnation. Its messages that are
 * still in transit may lead to any revision up to it. */
byte reached[3];

/* Checks that a daemon holds the store's objects as of its revision. */
inline check(d) {
	w = 0; x = 0;
	for (r : 1 .. applied[d]) {
		if
		:: changed[r] == 0 -> w = (deleted[r] -> 0 : r)
		:: changed[r] == 1 -> x = (deleted[r] -> 0 : r)
		fi
	}
	assert(version[2 * d] == w);
	assert(version[2 * d + 1] == x);
	w = 0; x = 0; r = 0
}

/* Applies the changes since the daemon's revision. No change in between is missing, since
 * the receiver requested them from that revision, except for the deletions up to the
 * sender's own snapshot (lacks), which the sender does not know. */
inline applyChanges(d, to) {
	for (r : applied[d] + 1 .. to) {
		if
		:: deleted[r] && r <= lacks
		:: else -> version[2 * d + changed[r]] = (deleted[r] -> 0 : r)
		fi
	}
	r = 0;
	lacks = 0;
	applied[d] = to
}

inline applySnapshot(d, to) {
	version[2 * d] = 0;
	version[2 * d + 1] = 0;
	for (r : 1 .. to) {
		version[2 * d + changed[r]] = (deleted[r] -> 0 : r)
	}
	r = 0;
#ifdef SNAPSHOT_BLIND
	applied[d] = (applied[d] < to -> to : applied[d]);
#else
	assert(applied[d] <= to);    /* the revision never decreases */
	applied[d] = to;
#endif
	since[d] = to
}

/* Whether a daemon applies a snapshot of a revision. */
#if defined(APPLY_ANY) || defined(SNAPSHOT_BLIND)
#define TAKES(d, to) (applied[d] != to)
#else
#define TAKES(d, to) (applied[d] < to)
#endif

/* A daemon knows no deletion before its own snapshot. To a receiver with that revision or a
 * later one it may send changes, to any other only a snapshot. */
#ifdef NO_TOMBSTONE
#define KNOWS(from, d) true
#else
#define KNOWS(from, d) (applied[d] >= since[from])
#endif

#define finish(d) reached[d] = (reached[d] < applied[d] -> applied[d] : reached[d]); check(d)

/* Messages from peer p that lead daemon d to one revision. */
proctype Peer(byte p; byte d; byte to) {
	byte r, w, x, lacks;
end:	do
	:: atomic { to <= reached[p] && TAKES(d, to) -> applySnapshot(d, to); finish(d) }
	:: atomic { to <= reached[p] && applied[d] < to && KNOWS(p, d) ->
		lacks = (applied[d] < since[p] -> since[p] : 0);
		applyChanges(d, to); finish(d) }
	od
}

/* Answers of the store that lead daemon d to one revision: of a watch or of a list. */
proctype Watch(byte d; byte to) {
	byte r, w, x, lacks;
end:	do
	:: atomic { to <= revision && TAKES(d, to) -> applySnapshot(d, to); finish(d) }
	:: atomic { to <= revision && applied[d] < to -> applyChanges(d, to); finish(d) }
	od
}

/* A daemon restarts without state and without connections. */
proctype Restart() {
	byte left = RESTARTS, d;
	do
	:: atomic { left > 0 ->
		left--;
		if
		:: applied[0] > 0 -> d = 0
		:: applied[1] > 0 -> d = 1
		:: applied[2] > 0 -> d = 2
		:: else -> goto stopped
		fi;
		applied[d] = 0; version[2 * d] = 0; version[2 * d + 1] = 0; since[d] = 0;
		d = 0 }
	:: goto stopped
	od;
stopped: skip
}

/* An operator reads object 0, adds an edit, and writes conditionally on the version read. */
byte lastEdit;         /* the revision that last changed object 0 */

proctype Operator(byte edit) {
	byte seen, read;
	atomic { seen = lastEdit; read = content };
	atomic {
		if
#ifdef BLIND_WRITE
		:: true ->
#else
		:: lastEdit == seen ->
#endif
			revision++;
			changed[revision] = 0;
			lastEdit = revision;
			content = read | edit;
			accepted = accepted | edit;
			assert(content == accepted)    /* no accepted edit is lost */
		:: else    /* a conflict; the operator gets an error */
		fi;
		seen = 0; read = 0
	}
}

proctype Delete() {
	atomic { revision++; changed[revision] = 1; deleted[revision] = true }
}

init {
	byte r;
	atomic {
		changed[1] = 1;
		for (r : 1 .. LAST) {
			run Watch(0, r); run Watch(1, r);
			run Peer(0, 1, r); run Peer(1, 0, r);
#ifndef NO_PEER
			run Peer(0, 2, r); run Peer(1, 2, r); run Peer(2, 0, r); run Peer(2, 1, r)
#endif
		}
		run Operator(1); run Operator(2); run Delete(); run Restart()
	};
	timeout ->
#ifndef SAFETY_ONLY
	assert(applied[0] == revision && applied[1] == revision && applied[2] == revision);
#endif
	skip
}
