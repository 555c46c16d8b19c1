/*
 * Configuration: accepted changes spread to three daemons and never revert.
 *
 * The store keeps two objects. Revision 1 created object 1; two operators then edit
 * object 0, each on the version it read, and a third deletes object 1. Daemons 0 and 1
 * hear the store, daemon 2 is cut from it for good. Each passes on to its peers what
 * they lack: the changes since the revision that they have, or a snapshot. A message
 * may come late, after newer ones, or never; a daemon may restart with nothing.
 *
 * Messages under way are not kept one by one. A message leads to a revision that its
 * sender once had, so a daemon may at any time receive any such revision.
 *
 * Checked: a daemon holds exactly the objects of the revision it has applied, which
 * never falls while it runs; no accepted edit is lost; once restarts stop, all daemons
 * reach the last revision (no infinite runs, pan -l, and a check in every end state).
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * APPLY_ANY (no comparison), SNAPSHOT_BLIND (the revision is kept, the objects are
 * overwritten), NO_PEER (progress), NO_TOMBSTONE (changes are sent since a revision
 * older than the sender's own snapshot), BLIND_WRITE (edit without condition).
 */
#define LAST 4         /* revisions */
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* The store: which object each revision changed, and whether it deleted it. */
byte revision = 1;
byte changed[LAST + 1];
bool deleted[LAST + 1];
byte content;          /* of object 0: a bit for each edit that it holds */
byte accepted;         /* edits whose write the store accepted */

/* The daemons: the revision in force, the version held of each object (0: none), and
 * the revision of the snapshot that it started from; it knows of no deletion before. */
byte applied[3];
byte version[6];
byte since[3];

/* The highest revision that a daemon ever had, in any incarnation: what its messages
 * that are still under way may lead to. */
byte reached[3];

/* What a daemon holds must be the store's state at its revision. */
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

/* Changes since the revision in hand, which connect since the receiver asked for them;
 * a sender that does not know the deletions up to its own snapshot lacks them. */
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
	assert(applied[d] <= to);    /* it never falls */
	applied[d] = to;
#endif
	since[d] = to
}

/* Whether a daemon takes a snapshot of a revision. */
#if defined(APPLY_ANY) || defined(SNAPSHOT_BLIND)
#define TAKES(d, to) (applied[d] != to)
#else
#define TAKES(d, to) (applied[d] < to)
#endif

/* A daemon knows of no deletion before its own snapshot: it sends changes only since
 * later revisions, and a snapshot otherwise. */
#ifdef NO_TOMBSTONE
#define KNOWS(from, d) true
#else
#define KNOWS(from, d) (applied[d] >= since[from])
#endif

#define finish(d) reached[d] = (reached[d] < applied[d] -> applied[d] : reached[d]); check(d)

/* What leads daemon d to one revision, from peer p. */
proctype Peer(byte p; byte d; byte to) {
	byte r, w, x, lacks;
end:	do
	:: atomic { to <= reached[p] && TAKES(d, to) -> applySnapshot(d, to); finish(d) }
	:: atomic { to <= reached[p] && applied[d] < to && KNOWS(p, d) ->
		lacks = (applied[d] < since[p] -> since[p] : 0);
		applyChanges(d, to); finish(d) }
	od
}

/* The same from the store: its watch, or its list. */
proctype Watch(byte d; byte to) {
	byte r, w, x, lacks;
end:	do
	:: atomic { to <= revision && TAKES(d, to) -> applySnapshot(d, to); finish(d) }
	:: atomic { to <= revision && applied[d] < to -> applyChanges(d, to); finish(d) }
	od
}

/* A daemon restarts with nothing; its connections are gone. */
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

/* An operator reads object 0, adds its edit, and writes on the version that it read. */
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
		:: else    /* a conflict, which the operator is told */
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
