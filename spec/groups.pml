/*
 * Model of groups, fencing and pinning in one fabric domain.
 *
 * There are three hosts, groups of two members, and two daemons that take the domain's
 * lease from each other. The domain object in the platform's store holds the lease holder,
 * the generation in force with its members, and the pins. The engines of hosts 0 and 1 do
 * not check fencing tokens, that of host 2 does.
 *
 * Pauses are unbounded and the model does not rely on leases: a takeover may happen at any
 * time, and an order, once issued, may reach its engine at any later time, also after its
 * sender has been replaced. An order travels on a connection to one incarnation and is lost
 * when that incarnation ends. A write may take effect at any later time while the version
 * that it is conditional on is current, and never afterwards. Incarnations are not numbered:
 * state of an ended incarnation can have no effect any more, so the model drops it when the
 * incarnation ends.
 *
 * Every order follows from the stored record alone, whoever sends it. Its fencing token is
 * 2*generation for a join and 2*generation-1 for an idle order, so the token rises with
 * every assignment. A takeover does not raise it; that the checks pass shows that it need
 * not.
 *
 * Checked: no engine moves from one group directly to another; no order breaks the group in
 * force; no request is routed to a group of which a member is in another group; and, once
 * faults stop, a group serves (there is no infinite run, pan -l, and in every end state the
 * group in force serves).
 *
 * Switches that break the protocol, each of which must yield a counterexample:
 * NO_PIN              orders are sent without a pin
 * NO_READBACK         an order is sent before its pin is read back from the store
 * NO_BINDING          the sender checks the lease, but the order may travel on any
 *                     connection, so it outlives the incarnation
 * NO_BINDING_CHECKED  the same for the engine that checks fencing tokens
 * ROUTE_ON_RECORD     the router routes by the record, without reports of the members
 * STALE_PIN           a pin write for an ended incarnation may replace the current pin
 * NO_REST             a host is ordered although reports of its old group may be unexpired
 * FENCE_PER_HOLDER    the token does not rise with an assignment
 * ONE_FENCE           idle order and join have the same token
 * JOIN_BLIND          a join is sent before the engine reports this generation's idle order
 * NO_RETIRE           members of an older generation are not retired (breaks progress)
 * SAFETY_ONLY leaves out the check of progress. WITNESS_MOVED asserts false at a state that
 * a run must be able to reach, which shows that the model does not hold vacuously.
 */
#ifndef FAULTS
#define FAULTS 3       /* lost members, needless takeovers and moves, lost writes, daemon crashes */
#endif
#define GENERATIONS (FAULTS + 2)
#define CHECKED 2      /* the host whose engine checks fencing tokens */
#define NOBODY 3

mtype = { nothing, take, assign, pin };

/* The domain object. */
byte holder = 0;
byte gen = 0;
byte spare[GENERATIONS];        /* the host that is not a member of a generation */
byte pinGen[2];                 /* generation of the pin; 0: the current incarnation has none */
bool pinRetire[2];              /* the pinned incarnation may only be retired */

/* Pending writes, one for each daemon. The argument is the spare of an assign and the host
 * of a pin. */
mtype write[2] = nothing;
byte  argument[2];
bool  ended[2];                 /* the incarnation that a pending pin names has ended */
bool  crashed[2];

/* Engines: whether the host is up, the generation that its engine is in (0: idle), and the
 * highest fencing token that the checking engine has seen. */
bool up[3] = true;
byte held[3];
byte fence;

/* Orders in transit to the current incarnations. */
bool join[2 * GENERATIONS];
bool retire[2];
bool joinChecked[GENERATIONS];
bool idleChecked[GENERATIONS];

/* The router's unexpired reports: the generation that a host is in, or 0 for none. */
byte report[3];

#define JOIN(h, g) join[(h) * GENERATIONS + (g)]
#define MEMBER(g, h) (spare[g] != h)
#define PINNED(h) (pinGen[h] != 0)

/* Checks every group that the router would now send requests to. */
inline check() {
	for (g : 1 .. gen) {
		if
#ifdef ROUTE_ON_RECORD
		:: g == gen ->
#else
		:: (!MEMBER(g, 0) || report[0] == g) && (!MEMBER(g, 1) || report[1] == g) &&
		   (!MEMBER(g, 2) || report[2] == g) ->
#endif
			/* A member may have ended within the max age of its report, but must not
			 * be in another group. */
			for (m : 0 .. 2) {
				assert(!MEMBER(g, m) || held[m] == g || held[m] == 0)
			}
		:: else
		fi
	}
	m = 0; g = 0
}

/* Ends an incarnation. Orders and pins for it have no effect afterwards. */
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

/* Applies a pending write. The other pending writes are conditional on the replaced version
 * and can no longer take effect, so they are dropped. */
inline land(d) {
	if
	:: write[d] == take -> holder = d
	:: write[d] == assign ->
		gen++;
		spare[gen] = argument[d];
		/* A new generation is in force, so pinned incarnations may only be retired. */
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

/* RESTED: no unexpired report names another group, because the host has been out of it for
 * the max age of a report. */
#ifdef NO_REST
#define RESTED(h) true
#else
#define RESTED(h) (report[h] == 0 || report[h] == gen)
#endif

/* The writes of the lease holder. Each step reads the record, then requests a report from
 * the host, then writes. */
#define HOLDS(d) (holder == d && !crashed[d] && write[d] == nothing)
#define DOWN(h) (MEMBER(gen, h) && !up[h])
#define UNPINNED(h) (MEMBER(gen, h) && up[h] && !PINNED(h))

proctype Daemon(byte d) {
	byte h;
end:	do
	/* Takeover after the holder has crashed. Faults has the takeover from a slow holder. */
	:: atomic { !crashed[d] && write[d] == nothing && crashed[holder] -> write[d] = take }

	/* Assignment, if there is none or a member is down. The holder may also wait for the
	 * member's return. */
	:: atomic { HOLDS(d) && gen == 0 && up[0] && up[1] -> write[d] = assign; argument[d] = 2 }
	:: atomic { HOLDS(d) && gen == 0 && up[1] && up[2] -> write[d] = assign; argument[d] = 0 }
	:: atomic { HOLDS(d) && gen == 0 && up[0] && up[2] -> write[d] = assign; argument[d] = 1 }
	:: atomic { HOLDS(d) && gen != 0 && (DOWN(0) || DOWN(1) || DOWN(2)) ->
		write[d] = assign; argument[d] = (up[0] -> (up[1] -> 2 : 1) : 0) }

	/* The holder pins the incarnation before any order. It requested the report after it
	 * read the record, so the incarnation is no older than the pin that the record holds. */
#ifndef NO_PIN
	:: atomic { HOLDS(d) && gen != 0 && (UNPINNED(0) || UNPINNED(1)) ->
		if
		:: UNPINNED(0) -> h = 0
		:: UNPINNED(1) -> h = 1
		fi;
		write[d] = pin; argument[d] = h;
#ifdef NO_READBACK
		/* Assumes that the write took effect and sends the order at once. */
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
 * Orders to the engines that do not check. They follow from the record alone, so it does not
 * matter which daemon reads the record. A daemon may send an order long after it has read
 * the record; the model treats that order as in transit.
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
 * Orders to the engine that checks: an idle order precedes the join. Once the engine has
 * seen the idle order's token, it refuses every order of an older generation. Only then does
 * its idle state prove that it may join.
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

/* An engine that does not check carries out every order that reaches it. This process
 * handles the retire orders. */
proctype Retire(byte h) {
	byte g;
end:	do
	:: atomic { up[h] && retire[h] -> assert(held[h] == 0 || held[h] != gen); endIncarnation(h) }
	od
}

/* Handles the joins of one generation at an engine that does not check. */
proctype Engine(byte h; byte mine) {
	byte g, m;
end:	do
	:: atomic { up[h] && JOIN(h, mine) && held[h] != mine ->
		assert(held[h] == 0);
		held[h] = mine;
		check() }
	od
}

/* The engine that checks refuses orders below the highest token that it has seen. */
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

/* Handles the orders of one generation at the engine that checks. They arrive in any order
 * relative to those of other generations. */
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

/* A report states the engine's generation at that moment. It can expire at any time after it
 * is no longer true. */
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
	/* A host is lost. At most one host is down at a time. */
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
	/* The lost host returns with a new incarnation, or never. */
	:: atomic { !up[0] || !up[1] || !up[2] -> up[0] = true; up[1] = true; up[2] = true }
	/* A takeover while the holder is alive and believes that it has the lease. */
#ifndef FENCE_PER_HOLDER
	:: atomic { left > 0 && !crashed[1 - holder] && write[1 - holder] == nothing ->
		left--; write[1 - holder] = take }
#endif
	/* A planned move to other members, although all hosts are up. */
	:: atomic { left > 0 && gen != 0 && HOLDS(holder) && up[0] && up[1] && up[2] ->
		left--; write[holder] = assign; argument[holder] = (spare[gen] + 1) % 3 }
	/* A write is lost before it takes effect. */
	:: atomic { left > 0 && write[holder] != nothing ->
		left--; write[holder] = nothing; argument[holder] = 0; ended[holder] = false }
	/* A daemon crashes. Its writes and orders may still take effect. */
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
	/* No process can take a step any more, so faults have stopped. */
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
