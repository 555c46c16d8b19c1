/*
 * Model of group formations that are ordered in two steps: every member joins, then the head
 * is opened. The code is in internal/core/fabric.
 *
 * There are three hosts, groups of a head and one member, and two daemons that may both send
 * orders at any time, because the model does not rely on leases. An order follows from the
 * state that its sender has just read. It may reach its engine at any later time or never,
 * and its answer may be lost. It carries the number of orders that the engine had accepted
 * when its state was read, and the engine refuses it if that number has changed. Hosts crash
 * and return without state; orders to an incarnation are lost when it ends. A join that takes
 * long is the same as one that arrives late.
 *
 * Checked: a head is opened only after its member was ready in the same formation; no host
 * joins another formation while the head of its own formation is open.
 *
 * Not modelled: an unreachable head, whose members must wait for the time after which an
 * engine breaks the group. That rule relies on a time bound; TestHistories covers it.
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * OPEN_EARLY     a head is opened before its member is ready
 * REUSE          members join elsewhere although their head has not left
 * NO_EXPECT      orders carry no count
 * SEAL_BY_CLOSE  a formation whose head is closed counts as released before the head has left
 * ONE_EPOCH      one formation number is used for two lists of members
 * REJOIN         a join is repeated although the engine has accepted an order since
 * WITNESS_MOVED asserts false at a state that a run must be able to reach, which shows that
 * the model does not hold vacuously.
 */
#ifndef CRASHES
#define CRASHES 1
#endif
#define HOSTS 3
#ifndef LAST
#define LAST 2
#endif                   /* formations 1 to LAST */
#define SLOTS 2          /* the most orders in transit at a time */
#ifndef MOST
#define MOST 3
#endif                   /* the most orders that one incarnation of an engine accepts */

#define GONE 255

mtype = { free, join, open, close, leave };

/* Engines: the formation (0: none), the phase (0: in no formation, 1: ready, 2: open) and the
 * count of orders that the incarnation has accepted. */
byte in[HOSTS];
byte phase[HOSTS];
byte count[HOSTS];
byte crashes = 0;

/* Formations: the lists of members, which hosts were ever ready in them, and which
 * formations each daemon knows to be released. */
byte minted = 0;
byte head[LAST + 1];
byte member[LAST + 1];
bool readied[(LAST + 1) * HOSTS];
bool over[2 * (LAST + 1)];
byte maker[LAST + 1];                  /* the daemon that formed it; others only adopt it */
byte asked[(LAST + 1) * HOSTS];        /* 1 + the count that a host's join expects; 0: no join
                                        * was sent; GONE: the listed incarnation has ended */

/* Orders in transit. */
mtype kind[SLOTS] = free;
byte  to[SLOTS];
byte  what[SLOTS];
byte  expects[SLOTS];
byte  from[SLOTS];
bool  awaited[SLOTS];

inline take(s, k, h, f, d) {
	kind[s] = k; to[s] = h; what[s] = f; expects[s] = count[h]; from[s] = d; awaited[s] = true;
}

inline clear(s) {
	kind[s] = free; to[s] = 0; what[s] = 0; expects[s] = 0; from[s] = 0; awaited[s] = false;
}

inline obey(s, h, f) {
	if
	:: kind[s] == join && in[h] != f ->
		if
		:: in[h] != 0 ->
			assert(!(in[head[in[h]]] == in[h] && phase[head[in[h]]] == 2));
#ifdef WITNESS_MOVED
			assert(false);
#endif
		:: else
		fi;
		in[h] = f; phase[h] = 1; count[h]++;
		readied[f * HOSTS + h] = true
	:: kind[s] == open && in[h] == f && phase[h] == 1 ->
		assert(readied[f * HOSTS + member[f]]);
		phase[h] = 2; count[h]++
	:: kind[s] == close && in[h] == f && phase[h] == 2 ->
		phase[h] = 1; count[h]++;
#ifdef SEAL_BY_CLOSE
		if :: awaited[s] -> over[from[s] * (LAST + 1) + f] = true :: else fi;
#endif
	:: kind[s] == leave && in[h] == f ->
		in[h] = 0; phase[h] = 0; count[h]++;
		if :: awaited[s] -> over[from[s] * (LAST + 1) + f] = true :: else fi
	:: else
	fi
}

/* An order reaches its engine, or its answer is lost, or the order itself is lost. */
proctype Path(byte s) {
	byte h, f;
end:	do
	:: atomic { kind[s] != free ->
		h = to[s]; f = what[s];
		if
#ifdef NO_EXPECT
		:: true -> obey(s, h, f)
#else
		:: count[h] == expects[s] -> obey(s, h, f)
		:: count[h] != expects[s]
#endif
		fi;
		clear(s); h = 0; f = 0 }
	:: atomic { kind[s] != free && awaited[s] -> awaited[s] = false }
	:: atomic { kind[s] != free -> clear(s) }
	od
}

#define known(d, f) over[(d) * (LAST + 1) + (f)]
#ifdef REJOIN
#define fresh(f, h) true
#else
#define fresh(f, h) (asked[(f) * HOSTS + (h)] == 0 || asked[(f) * HOSTS + (h)] == count[h] + 1)
#endif

proctype Daemon(byte d) {
	byte s, h, f, a, b;
end:	do
	:: atomic { minted < LAST ->
		select(a : 0 .. HOSTS - 1); select(b : 0 .. HOSTS - 1);
		if
		:: a != b -> minted++; head[minted] = a; member[minted] = b; maker[minted] = d
#ifdef ONE_EPOCH
		:: a != b && minted > 0 -> head[minted] = a; member[minted] = b
#endif
		:: else
		fi;
		a = 0; b = 0 }
	:: atomic { minted > 0 ->
		select(f : 1 .. LAST); select(s : 0 .. SLOTS - 1);
		if
		:: f <= minted && kind[s] == free && count[head[f]] < MOST && count[member[f]] < MOST ->
			if
			:: h = head[f] :: h = member[f]
			fi;
			if
			/* A join is repeated only if the engine has accepted no order since the first
			 * join. Otherwise another daemon has sent it an order, perhaps one to leave
			 * this formation. */
			:: maker[f] == d && !known(d, f) && in[h] != f && fresh(f, h) &&
			   (in[h] == 0 || known(d, in[h])) ->
				asked[f * HOSTS + h] = count[h] + 1; take(s, join, h, f, d)
#ifdef REUSE
			:: maker[f] == d && !known(d, f) && in[h] != f && fresh(f, h) ->
				asked[f * HOSTS + h] = count[h] + 1; take(s, join, h, f, d)
#endif
			:: in[head[f]] == f && phase[head[f]] == 1 && in[member[f]] == f -> take(s, open, head[f], f, d)
#ifdef OPEN_EARLY
			:: in[head[f]] == f && phase[head[f]] == 1 -> take(s, open, head[f], f, d)
#endif
			:: in[head[f]] == f && phase[head[f]] == 2 -> take(s, close, head[f], f, d)
			:: in[head[f]] == f && phase[head[f]] == 1 -> take(s, leave, head[f], f, d)
			:: else
			fi
		:: else
		fi;
		s = 0; h = 0; f = 0 }
	od
}

/* An incarnation of an engine ends, and the orders to it are lost. Daemons see the restart. */
proctype Crash() {
	byte h, s;
end:	do
	:: atomic { crashes < CRASHES ->
		select(h : 0 .. HOSTS - 1);
		crashes++;
		in[h] = 0; phase[h] = 0; count[h] = 0;
		/* The incarnation that a formation lists has ended. No join is sent to the new
		 * incarnation in its place. */
		s = 1;
		do
		:: s <= LAST -> asked[s * HOSTS + h] = GONE; s++
		:: else -> break
		od;
		s = 0;
		do
		:: s < SLOTS ->
			if :: kind[s] != free && to[s] == h -> clear(s) :: else fi;
			s++
		:: else -> break
		od;
		s = 0; h = 0 }
	od
}

init {
	atomic { run Path(0); run Path(1); run Daemon(0); run Daemon(1); run Crash() }
}
