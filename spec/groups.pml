/*
 * Groups, fencing and pinning in one fabric domain.
 *
 * Three hosts, groups of two, two daemons that take the domain from one another. The
 * domain object in the platform's store holds the holder, the generation in force with
 * its members, and the pins. Hosts 0 and 1 do not check fencing numbers, host 2 does.
 *
 * Pauses are unbounded and leases are not trusted at all: a takeover may come at any
 * time, and an order, once issued, may land at any later time, also when its sender
 * has long been replaced. Orders travel on a connection to one incarnation and die
 * with it. A write may land at any later time while the version that it is conditional
 * on stands, and never after. Incarnations are not numbered: what is kept of one that
 * has ended could have no effect any more, and is dropped when it ends.
 *
 * Every order follows from the record alone, whoever sends it. An order's fencing
 * number is 2*generation for a join and 2*generation-1 for an idle order, so it rises
 * with every assignment; that a takeover raises nothing shows that it need not.
 *
 * Checked: no engine goes from one group to another directly; no order breaks the
 * group in force; no request is routed to a group of which a member is in another;
 * and, once faults stop, a group serves (there are no infinite runs, pan -l, and in
 * every end state the group in force serves).
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * NO_PIN, NO_READBACK, NO_BINDING (the lease is checked, the order then travels on
 * any connection), NO_BINDING_CHECKED (the same for the engine that checks),
 * ROUTE_ON_RECORD, STALE_PIN, NO_REST, FENCE_PER_HOLDER (no rise with an assignment),
 * ONE_FENCE (idle and join with the same number), JOIN_BLIND (join before the engine
 * reports this generation's idle order), NO_RETIRE (progress).
 * SAFETY_ONLY leaves the check of progress out. WITNESS_MOVED asserts false where a run
 * must be able to get.
 */
#ifndef FAULTS
#define FAULTS 3       /* kills, takeovers without need, planned moves, lost writes, crashes */
#endif
#define GENERATIONS (FAULTS + 2)
#define CHECKED 2      /* the host that checks fencing numbers */
#define NOBODY 3

mtype = { nothing, take, assign, pin };

/* The domain object. */
byte holder = 0;
byte gen = 0;
byte spare[GENERATIONS];        /* the host that is no member of a generation */
byte pinGen[2];                 /* 0: no pin for the present incarnation */
bool pinRetire[2];

/* Writes under way, one a daemon; argument: the spare of assign, the host of pin. */
mtype write[2] = nothing;
byte  argument[2];
bool  ended[2];                 /* the incarnation that a pin names has ended */
bool  crashed[2];

/* Engines: up, the generation held (0: idle), the highest fencing number seen. */
bool up[3] = true;
byte held[3];
byte fence;

/* Orders under way to the present incarnations. */
bool join[2 * GENERATIONS];
bool retire[2];
bool joinChecked[GENERATIONS];
bool idleChecked[GENERATIONS];

/* The router's unexpired reports: the generation held, or 0. */
byte report[3];

#define JOIN(h, g) join[(h) * GENERATIONS + (g)]
#define MEMBER(g, h) (spare[g] != h)
#define PINNED(h) (pinGen[h] != 0)

/* What must hold of every request that the router would now send. */
inline check() {
	for (g : 1 .. gen) {
		if
#ifdef ROUTE_ON_RECORD
		:: g == gen ->
#else
		:: (!MEMBER(g, 0) || report[0] == g) && (!MEMBER(g, 1) || report[1] == g) &&
		   (!MEMBER(g, 2) || report[2] == g) ->
#endif
			/* A member may have ended within the freshness bound, no more. */
			for (m : 0 .. 2) {
				assert(!MEMBER(g, m) || held[m] == g || held[m] == 0)
			}
		:: else
		fi
	}
	m = 0; g = 0
}

/* An incarnation ends; orders and pins for it are without effect from here on. */
inline endIncarnation(h) {
	held[h] = 0;
	if
	:: h == CHECKED ->
		fence = 0;
#ifdef NO_BINDING_CHECKED
		skip
#else
		for (g : 0 .. GENERATIONS - 1) { joinChecked[g] = false; idleChecked[g] = false }
#endif
	:: else ->
		pinGen[h] = 0;
		pinRetire[h] = false;
		for (g : 0 .. 1) {
			ended[g] = ended[g] || (write[g] == pin && argument[g] == h)
		}
#ifndef NO_BINDING
		retire[h] = false;
		for (g : 0 .. GENERATIONS - 1) { JOIN(h, g) = false }
#endif
	fi;
	g = 0
}

/* A write lands: the others, conditional on the version passed, never will. */
inline land(d) {
	if
	:: write[d] == take -> holder = d
	:: write[d] == assign ->
		gen++;
		spare[gen] = argument[d];
		/* The generation in force moves on, so what was pinned may only retire. */
		for (g : 0 .. 1) {
#ifdef NO_RETIRE
			skip
#else
			pinRetire[g] = PINNED(g)
#endif
		}
	:: write[d] == pin ->
#ifdef STALE_PIN
		pinRetire[argument[d]] = false;
#else
		assert(ended[d] || !PINNED(argument[d]));
#endif
		pinGen[argument[d]] = (ended[d] -> 0 : gen)
	fi;
	for (g : 0 .. 1) { write[g] = nothing; argument[g] = 0; ended[g] = false }
	g = 0
}

/* Free of reports that name another group: the host was idle for a freshness bound. */
#ifdef NO_REST
#define RESTED(h) true
#else
#define RESTED(h) (report[h] == 0 || report[h] == gen)
#endif

/* What the holder writes. Each step reads the record, then probes, then writes. */
#define HOLDS(d) (holder == d && !crashed[d] && write[d] == nothing)
#define DOWN(h) (MEMBER(gen, h) && !up[h])
#define UNPINNED(h) (MEMBER(gen, h) && up[h] && !PINNED(h))

proctype Daemon(byte d) {
	byte h;
end:	do
	/* Takeover: the holder is gone. (A holder that is only slow: see Faults.) */
	:: atomic { !crashed[d] && write[d] == nothing && crashed[holder] -> write[d] = take }

	/* Assignment: there is none, or a member is down. Waiting for its return is allowed. */
	:: atomic { HOLDS(d) && gen == 0 && up[0] && up[1] -> write[d] = assign; argument[d] = 2 }
	:: atomic { HOLDS(d) && gen == 0 && up[1] && up[2] -> write[d] = assign; argument[d] = 0 }
	:: atomic { HOLDS(d) && gen == 0 && up[0] && up[2] -> write[d] = assign; argument[d] = 1 }
	:: atomic { HOLDS(d) && gen != 0 && (DOWN(0) || DOWN(1) || DOWN(2)) ->
		write[d] = assign; argument[d] = (up[0] -> (up[1] -> 2 : 1) : 0) }

	/* Pin, before any order. The probe was sent after the record was read, so the
	 * incarnation is no older than the pin that the record holds. */
#ifndef NO_PIN
	:: atomic { HOLDS(d) && gen != 0 && (UNPINNED(0) || UNPINNED(1)) ->
		if
		:: UNPINNED(0) -> h = 0
		:: UNPINNED(1) -> h = 1
		fi;
		write[d] = pin; argument[d] = h;
#ifdef NO_READBACK
		/* Takes the write for done and orders at once. */
		if
		:: RESTED(h) -> JOIN(h, gen) = true
		:: else
		fi;
#endif
		h = 0 }
#endif
#ifdef STALE_PIN
	:: atomic { HOLDS(d) && gen != 0 && MEMBER(gen, 0) && PINNED(0) && pinGen[0] != gen ->
		write[d] = pin; argument[d] = 0; ended[d] = true }
#endif
	od
}

/*
 * Orders. They follow from the record alone, so it does not matter which daemon reads
 * it, and a daemon that has read it may send much later: the order is under way.
 */
#define ORDER(h) (gen != 0 && up[h])

proctype Orders(byte h) {
end:	do
#ifdef NO_PIN
	:: atomic { ORDER(h) && MEMBER(gen, h) && held[h] == 0 && RESTED(h) && !JOIN(h, gen) ->
		JOIN(h, gen) = true }
	:: atomic { ORDER(h) && held[h] != 0 && held[h] != gen && !retire[h] -> retire[h] = true }
#else
	:: atomic { ORDER(h) && PINNED(h) && !pinRetire[h] && RESTED(h) && !JOIN(h, pinGen[h]) ->
		JOIN(h, pinGen[h]) = true }
	:: atomic { ORDER(h) && PINNED(h) && pinRetire[h] && !retire[h] -> retire[h] = true }
#endif
	od
}

/*
 * For the host that checks: idle first. Once the engine has seen this number, no order
 * of an older generation can land any more, and only then is its being idle of use.
 */
#ifdef JOIN_BLIND
#define CLEARED true
#else
#define CLEARED (fence >= 2 * gen - 1)
#endif

proctype OrdersChecked() {
end:	do
	:: atomic { ORDER(CHECKED) && MEMBER(gen, CHECKED) && held[CHECKED] == 0 && CLEARED &&
	            RESTED(CHECKED) && !joinChecked[gen] -> joinChecked[gen] = true }
	:: atomic { ORDER(CHECKED) && held[CHECKED] != gen && !idleChecked[gen] &&
	            (held[CHECKED] != 0 || MEMBER(gen, CHECKED)) -> idleChecked[gen] = true }
	od
}

/* An engine that does not check takes every order that reaches it: here, retire, */
proctype Retire(byte h) {
	byte g;
end:	do
	:: atomic { up[h] && retire[h] -> assert(held[h] == 0 || held[h] != gen); endIncarnation(h) }
	od
}

/* and the joins of one generation. */
proctype Engine(byte h; byte mine) {
	byte g, m;
end:	do
	:: atomic { up[h] && JOIN(h, mine) && held[h] != mine ->
		assert(held[h] == 0);
		held[h] = mine;
		check() }
	od
}

/* The engine that checks refuses what is below the highest number it has seen. */
#ifdef FENCE_PER_HOLDER
#define FENCE_JOIN(g) 1
#define FENCE_IDLE(g) 1
#elif defined(ONE_FENCE)
#define FENCE_JOIN(g) (2 * (g))
#define FENCE_IDLE(g) (2 * (g))
#else
#define FENCE_JOIN(g) (2 * (g))
#define FENCE_IDLE(g) (2 * (g) - 1)
#endif
#define IDLE_LANDS (idleChecked[g] && (fence < FENCE_IDLE(g) || fence == FENCE_IDLE(g) && held[CHECKED] != 0))
#define JOIN_LANDS (joinChecked[g] && (fence < FENCE_JOIN(g) || fence == FENCE_JOIN(g) && held[CHECKED] != g))

/* Takes the orders of one generation; they land in any order with those of others. */
proctype EngineChecked(byte mine) {
	byte g = mine, m;
end:	do
	:: atomic { up[CHECKED] && IDLE_LANDS ->
		assert(held[CHECKED] != gen);
		fence = FENCE_IDLE(g);
		held[CHECKED] = 0 }
	:: atomic { up[CHECKED] && JOIN_LANDS ->
		assert(held[CHECKED] == 0);
		fence = FENCE_JOIN(g);
		held[CHECKED] = g;
		check();
		g = mine }
	od
}

/* A report is the engine's word at that moment; it expires once it is not true any more. */
proctype Router(byte h) {
	byte g, m;
end:	do
	:: atomic { up[h] && report[h] != held[h] -> report[h] = held[h]; check() }
	:: atomic { report[h] != 0 && report[h] != held[h] -> report[h] = 0 }
	od
}

proctype Faults() {
	byte left = FAULTS, h, g;
	do
	/* A member is lost; at most one host is down at a time. */
	:: atomic { left > 0 && up[0] && up[1] && up[2] ->
		left--;
		if
		:: h = 0
		:: h = 1
		:: h = 2
		fi;
		up[h] = false;
		endIncarnation(h);
		h = 0 }
	/* It comes back as a new incarnation, or never. */
	:: atomic { !up[0] || !up[1] || !up[2] -> up[0] = true; up[1] = true; up[2] = true }
	/* A takeover while the holder lives and believes that it holds. */
#ifndef FENCE_PER_HOLDER
	:: atomic { left > 0 && !crashed[1 - holder] && write[1 - holder] == nothing ->
		left--; write[1 - holder] = take }
#endif
	/* A move that nobody needed. */
	:: atomic { left > 0 && gen != 0 && HOLDS(holder) && up[0] && up[1] && up[2] ->
		left--; write[holder] = assign; argument[holder] = (spare[gen] + 1) % 3 }
	/* A write is lost before it takes effect. */
	:: atomic { left > 0 && write[holder] != nothing ->
		left--; write[holder] = nothing; argument[holder] = 0; ended[holder] = false }
	/* A daemon crashes; what it sent may still land. */
	:: atomic { left > 0 && !crashed[0] && !crashed[1] ->
		left--;
		if
		:: crashed[0] = true
		:: crashed[1] = true
		fi }
	:: break
	od
}

proctype Store(byte d) {
	byte g;
end:	do
	:: atomic { write[d] != nothing -> land(d) }
	od
}

init {
	byte g;
	atomic {
		spare[0] = NOBODY;
		run Store(0); run Store(1);
		run Daemon(0); run Daemon(1);
		run Orders(0); run Orders(1); run OrdersChecked();
		run Retire(0); run Retire(1);
		for (g : 1 .. GENERATIONS - 1) { run Engine(0, g); run Engine(1, g); run EngineChecked(g) };
		run Router(0); run Router(1); run Router(2);
		run Faults()
	};
	/* Nothing is left to do: faults have stopped. */
	timeout ->
#ifndef SAFETY_ONLY
	assert(gen != 0);
	assert((!MEMBER(gen, 0) || report[0] == gen) && (!MEMBER(gen, 1) || report[1] == gen) &&
	       (!MEMBER(gen, 2) || report[2] == gen));
#endif
#ifdef WITNESS_MOVED
	assert(gen < FAULTS + 1);
#endif
	skip
}
