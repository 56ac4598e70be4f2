package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongToDoubleFunction;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.waiting.KvCacheWait;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Chooses how and where a prompt is read: by a prefill engine whose KV cache a decode engine
 * fetches, or by the decode engine itself; and in either case, whether parts that another engine
 * has cached are copied from there. The cost of each way is the expected time to the first token,
 * in ms (from the tokens that wait at the engine, the tokens to be read, transfers of KV cache,
 * distance and health), plus what it costs the fleet when shared parts are read again. Only the
 * dispatch thread calls.
 */
final class PromptPlacement {

  /** Time for the second call and for the start of the KV cache transfer. */
  private static final double SECOND_CALL_MILLIS = 8;

  /** Cost of an engine in another zone, in ms. */
  private static final double OTHER_ZONE_MILLIS = 3;

  /**
   * Advantage of the preferred engine for a new shared part, in tokens: nodes that have not learned
   * of each other's placements yet all read the part there, unless this many more tokens wait there
   * than at another engine. 1,200 tokens take 20 ms where 61 are read per ms.
   */
  private static final double PREFERRED_ENGINE_TOKENS = 1_200;

  /**
   * Cost of an engine that fails every answer, as a multiple of the route's target latency: 300 ms
   * for a target of 500 ms.
   */
  private static final double FAILURE_COST_FACTOR = 0.6;

  /**
   * A running request delays a new one by the time that this many tokens take to be read: 0.3 ms
   * where 61 are read per ms.
   */
  private static final double RUNNING_REQUEST_TOKENS = 18;

  /**
   * Cost of reading a token that another engine has cached, in addition to the reading time and as
   * a multiple of it: 0.02 ms where 61 are read per ms.
   */
  private static final double READ_AGAIN_FACTOR = 1.2;

  /**
   * Prompts whose shared parts are shorter than this are spread over engines by request, because
   * reading such a part twice costs little. Parts below this length are not copied either.
   */
  private static final int MIN_ORDERED_TOKENS = EngineSelector.MIN_COPIED_TOKENS;

  private final EngineSelector selector;
  private final String zone;

  /**
   * Fraction of the longest allowed pause between events that reading may take up; decode steps
   * need the rest.
   */
  private static final double READING_FRACTION_OF_PAUSE = 0.5;

  /**
   * Cost to each stream of a decode engine that reads a prompt, as a fraction of the reading time.
   * It is only a fraction because a stream is late when one pause is too long, not whenever it is
   * delayed.
   */
  private static final double STREAM_DELAY_FRACTION = 0.2;

  /**
   * At least this many streams are assumed to run at a decode engine, because streams with short
   * answers are not counted.
   */
  private static final int MIN_STREAMS = 3;

  /**
   * Advantage of an engine for a long answer, in ms for each stream that already runs there: ten
   * streams outweigh the distance to another zone.
   */
  private static final double MILLIS_PER_STREAM = 0.5;

  /**
   * Safety factor for times that turn out longer than expected. Under a backlog, the 90th
   * percentile of the actual times at prefill engines was 1.25 times that of the expected ones.
   */
  private static final double IN_TIME_MARGIN = 1.2;

  /**
   * The actual time may be as short as this fraction of the expected one; a prompt that could then
   * still be in time keeps its place.
   */
  private static final double SURELY_LATE_FRACTION = 0.6;

  /**
   * A late prompt goes behind all others only if its expected time, multiplied by this factor, is
   * within its caller's remaining time, so that half of that time is left for prompts that arrive
   * later and go ahead of it.
   */
  private static final double YIELDING_MARGIN = 2;

  private static final double NANOS_PER_MILLI = 1e6;

  private static final double PERCENT = 100;

  /**
   * One way to place the prompt.
   *
   * @param engine the engine
   * @param prefill whether the engine only reads the prompt
   * @param fetchFrom engine from which it first copies cached parts; empty when it copies none
   * @param readTokens prompt tokens that the engine has to read
   * @param aheadTokens prompt tokens that the engine reads before them
   * @param urgency urgency among the engine's requests
   * @param millis expected time to the first token, in ms
   * @param cost the expected time plus other costs, in ms
   * @param slowness factor by which reading takes longer there than usual
   */
  record Plan(
      ServingEngine engine,
      boolean prefill,
      Optional<ServingEngine> fetchFrom,
      int readTokens,
      long aheadTokens,
      Urgency urgency,
      double millis,
      double cost,
      double slowness) {

    PlacementEstimate estimate() {
      return new PlacementEstimate(
          millis, readTokens, aheadTokens, (int) Math.round(PERCENT * slowness));
    }
  }

  /**
   * The input of one choice.
   *
   * @param progress state of the request
   * @param prompt size and parts of the prompt
   * @param speed reading speed of the service's engines
   * @param profile profile of the service's engines; empty when it is not known
   * @param holders engines from which parts of the prompt can be copied
   * @param waiting how requests that compete for capacity are handled
   * @param nowNanos the present time
   */
  record Input(
      RequestProgress progress,
      PromptShape prompt,
      PrefillSpeed speed,
      Optional<EngineProfile> profile,
      PrefixHolders holders,
      WaitingParameters waiting,
      long nowNanos) {

    Route route() {
      return progress.envelope().route();
    }

    /** Whether an answer that is expected to begin after the given time, in ms, begins in time. */
    boolean inTime(double millis) {
      return age() + IN_TIME_MARGIN * millis <= target();
    }

    /** Whether the answer begins too late even if it takes much less time than expected. */
    boolean surelyLate(double millis) {
      return age() + SURELY_LATE_FRACTION * millis > target();
    }

    private double age() {
      return (nowNanos - progress.envelope().arrivedNanos()) / NANOS_PER_MILLI;
    }

    private double target() {
      return route().targetLatency().toNanos() / NANOS_PER_MILLI;
    }
  }

  /**
   * Estimated wait at an engine.
   *
   * @param urgency urgency with which the prompt is sent
   * @param aheadTokens prompt tokens that the engine reads before it
   * @param millis time to the first token that results, in ms
   */
  private record QueueWait(Urgency urgency, long aheadTokens, double millis) {}

  /**
   * How an engine obtains the prompt.
   *
   * @param fetchFrom engine from which it first copies cached parts; empty when it copies none
   * @param readTokens tokens that it reads itself
   * @param fetchMillis time that the copy takes, in ms
   * @param readAgain tokens among those read that another engine has cached or will soon have
   */
  private record ReadPlan(
      Optional<ServingEngine> fetchFrom, int readTokens, double fetchMillis, int readAgain) {}

  PromptPlacement(EngineSelector selector, String zone) {
    this.selector = selector;
    this.zone = zone;
  }

  /**
   * Returns the placement of least cost; empty when no engine can take the prompt.
   *
   * @param mayPrefill whether a prefill engine may read the prompt
   */
  Optional<Plan> choose(Input input, boolean mayPrefill) {
    Optional<Plan> direct =
        cheapest(
            input,
            selector.runCandidates(input.progress(), input.nowNanos()),
            engine -> runPlan(input, engine),
            Optional.empty());
    if (!mayPrefill) {
      return direct;
    }
    List<ServingEngine> candidates = selector.prefillCandidates(input.progress(), input.nowNanos());
    Optional<ServingEngine> homeEngine = selector.homeEngine(input.prompt(), candidates);
    Optional<Plan> prefill =
        cheapest(input, candidates, engine -> prefillPlan(input, engine), homeEngine);
    if (direct.isEmpty() || prefill.isEmpty()) {
      return direct.or(() -> prefill);
    }
    return prefill.get().cost() < direct.get().cost() ? prefill : direct;
  }

  private Plan prefillPlan(Input input, ServingEngine engine) {
    Function<Long, Double> readMillis =
        tokens -> slowness(input, engine) * input.speed().prefillMillis(tokens);
    ReadPlan reading = bestReading(input, engine, readMillis);
    double otherMillis =
        reading.fetchMillis()
            + CacheCopyTime.moveMillis(input.prompt().promptTokens(), input.profile())
            + SECOND_CALL_MILLIS
            + cacheWaitMillis(input, engine, selector.running(engine, input.nowNanos()))
            + commonMillis(input, engine, zone);
    QueueWait wait =
        waitFor(
            input, engine, ahead -> readMillis.apply(ahead + reading.readTokens()) + otherMillis);
    return plan(input, engine, true, reading, wait, 0);
  }

  /**
   * Estimates the wait of a prompt and chooses its urgency. A prompt that can be in time goes among
   * those that can; any other goes behind them. A prompt whose caller has come back after a refusal
   * goes before new prompts that are late.
   *
   * @param millis function from the tokens that go before the prompt to its time to the first token
   */
  private QueueWait waitFor(Input input, ServingEngine engine, LongToDoubleFunction millis) {
    if (input.progress().source().isPresent()) {
      return wait(input, engine, millis, Urgency.READ);
    }
    QueueWait inTime = wait(input, engine, millis, Urgency.IN_TIME);
    RequestEnvelope envelope = input.progress().envelope();
    boolean returned =
        input.waiting().refuseForeseen() && envelope.hasReturned(envelope.arrivedNanos());
    return returned || input.inTime(inTime.millis()) ? inTime : waitLate(input, engine, millis);
  }

  private QueueWait waitLate(Input input, ServingEngine engine, LongToDoubleFunction millis) {
    RequestEnvelope envelope = input.progress().envelope();
    QueueWait late = wait(input, engine, millis, Urgency.LATE);
    if (input.waiting().lateYields()
        && Urgency.canYield(envelope.rank())
        && input.surelyLate(late.millis())) {
      QueueWait yielding = wait(input, engine, millis, Urgency.YIELDING);
      double left = envelope.remainingToBeginNanos(input.nowNanos()) / NANOS_PER_MILLI;
      if (YIELDING_MARGIN * yielding.millis() <= left) {
        return yielding;
      }
    }
    return late;
  }

  private QueueWait wait(
      Input input, ServingEngine engine, LongToDoubleFunction millis, Urgency urgency) {
    int level = urgency.level(input.progress().envelope().rank());
    long ahead = selector.aheadTokens(engine, level, input.nowNanos());
    return new QueueWait(urgency, ahead, millis.applyAsDouble(ahead));
  }

  private Plan runPlan(Input input, ServingEngine engine) {
    Optional<CacheSource> source = input.progress().source();
    String nearZone = source.map(from -> from.engine().zone()).orElse(zone);
    Function<Long, Double> readMillis =
        tokens -> slowness(input, engine) * input.speed().decodeMillis(tokens);
    ReadPlan reading =
        source.isPresent()
            ? fetchFromSource(input, engine, source.get())
            : bestReading(input, engine, readMillis);
    int running = selector.running(engine, input.nowNanos());
    double otherMillis =
        reading.fetchMillis()
            + RUNNING_REQUEST_TOKENS * input.speed().tokenMillis() * running
            + slotWaitMillis(input, engine, running)
            + cacheWaitMillis(input, engine, running)
            + commonMillis(input, engine, nearZone);
    QueueWait wait =
        waitFor(
            input, engine, ahead -> readMillis.apply(ahead + reading.readTokens()) + otherMillis);
    int streams = selector.streams(engine, input.nowNanos());
    double streamCost = streamCostMillis(input, engine, reading, streams);
    return plan(
        input, engine, false, reading, wait, streamCost - concentrationMillis(input, streams));
  }

  private double slowness(Input input, ServingEngine engine) {
    return selector.slowness(engine, WorkKind.READING, input.nowNanos());
  }

  /** What reading the prompt at this engine costs its streams, in ms. */
  private double streamCostMillis(
      Input input, ServingEngine engine, ReadPlan reading, int streams) {
    if (reading.readTokens() == 0) {
      return 0;
    }
    long backlog = selector.backlogTokens(engine, input.nowNanos());
    double slowed = STREAM_DELAY_FRACTION * input.speed().decodeMillis(reading.readTokens());
    double delayed = delayMillis(input, backlog, reading);
    return streams * slowed + Math.max(MIN_STREAMS, streams) * delayed;
  }

  /**
   * Advantage of engines that already run streams, for long answers. Concentrating long answers
   * lets other engines read prompts between the tokens of few streams.
   */
  private static double concentrationMillis(Input input, int streams) {
    return input.prompt().longAnswer() ? MILLIS_PER_STREAM * streams : 0;
  }

  /**
   * By how much reading the prompt here would stretch the pauses of the engine's streams beyond the
   * allowed gap, in ms: a decode engine reads between the tokens of its streams.
   */
  private static double delayMillis(Input input, long backlog, ReadPlan reading) {
    long maxGapNanos = input.progress().envelope().route().eventGapTarget().toNanos();
    if (maxGapNanos == 0) {
      return 0;
    }
    double stretch = input.speed().decodeMillis(backlog + reading.readTokens());
    return Math.max(0, stretch - READING_FRACTION_OF_PAUSE * maxGapNanos / NANOS_PER_MILLI);
  }

  private Plan plan(
      Input input,
      ServingEngine engine,
      boolean prefill,
      ReadPlan reading,
      QueueWait wait,
      double streamCost) {
    double cost = wait.millis() + readAgainMillis(input, reading.readAgain()) + streamCost;
    return new Plan(
        engine,
        prefill,
        reading.fetchFrom(),
        reading.readTokens(),
        wait.aheadTokens(),
        wait.urgency(),
        wait.millis(),
        cost,
        slowness(input, engine));
  }

  private static ReadPlan fetchFromSource(Input input, ServingEngine engine, CacheSource source) {
    double millis =
        CacheCopyTime.copyMillis(
            input.prompt().promptTokens(), source.engine(), engine, input.profile());
    return new ReadPlan(Optional.empty(), 0, millis, 0);
  }

  /**
   * Chooses whether the engine reads all that it does not have cached, or first copies from an
   * engine that has more of the prompt, whichever costs less.
   */
  private ReadPlan bestReading(
      Input input, ServingEngine engine, Function<Long, Double> readMillis) {
    PromptShape prompt = input.prompt();
    int uncached = selector.uncachedTokens(engine, prompt);
    Optional<PrefixHolders.Holder> holder = input.holders().sourceFor(engine);
    int again = readAgain(input, uncached);
    if (holder.isEmpty()) {
      return new ReadPlan(Optional.empty(), uncached, 0, again);
    }
    ServingEngine from = holder.get().engine();
    int afterCopy = Math.max(0, prompt.promptTokens() - holder.get().tokens());
    int copied = uncached - afterCopy;
    if (copied <= 0) {
      return new ReadPlan(Optional.empty(), uncached, 0, again);
    }
    double copyMillis = CacheCopyTime.copyMillis(copied, from, engine, input.profile());
    if (copyMillis < readMillis.apply((long) copied) + readAgainMillis(input, copied)) {
      return new ReadPlan(Optional.of(from), afterCopy, copyMillis, 0);
    }
    return new ReadPlan(Optional.empty(), uncached, 0, again);
  }

  private static double readAgainMillis(Input input, int tokens) {
    return READ_AGAIN_FACTOR * input.speed().tokenMillis() * tokens;
  }

  /**
   * Of the tokens to be read, those that another engine has cached or is about to have read.
   *
   * @param uncached tokens that the engine would have to read without a copy
   */
  private static int readAgain(Input input, int uncached) {
    int newTokens = input.prompt().promptTokens() - input.holders().soonTokens();
    return Math.max(0, uncached - Math.max(0, newTokens));
  }

  /**
   * Time for which a request beyond the engine's slots waits for another to end, in ms. A prompt
   * that has been read can only go to a decode engine, and should go where slots become free
   * soonest: on average, one becomes free after each service time divided by the number of slots.
   * The same cost for prompts that are still to be read would send them to prefill engines, which
   * may be in shorter supply than decode engines.
   */
  private double slotWaitMillis(Input input, ServingEngine engine, int running) {
    int over = Math.max(0, running + 1 - engine.slots());
    if (over == 0 || input.progress().source().isEmpty()) {
      return over * SECOND_CALL_MILLIS;
    }
    double workMillis = selector.responseTimes().workMillis(input.progress().service()).orElse(0);
    double slowness = selector.slowness(engine, WorkKind.DECODING, input.nowNanos());
    return over * Math.max(SECOND_CALL_MILLIS, slowness * workMillis / Math.max(1, engine.slots()));
  }

  /**
   * Expected time until the KV cache of the engine has room for the request, in ms: a request that
   * does not fit waits, or evicts less urgent ones.
   */
  private double cacheWaitMillis(Input input, ServingEngine engine, int running) {
    if (input.profile().isEmpty() || !input.waiting().cacheRoom()) {
      return 0;
    }
    return KvCacheWait.waitMillis(
        running,
        selector.cacheTokens(engine, input.nowNanos()),
        engine.slots(),
        input.progress().cacheTokens(),
        input.profile().get().cacheTokens(),
        selector.responseTimes().workMillis(input.progress().service()).orElse(0));
  }

  private double commonMillis(Input input, ServingEngine engine, String nearZone) {
    double target = input.route().targetLatency().toNanos() / NANOS_PER_MILLI;
    return (engine.zone().equals(nearZone) ? 0 : OTHER_ZONE_MILLIS)
        + FAILURE_COST_FACTOR
            * target
            * selector.load(engine).health().failureShare(input.nowNanos());
  }

  private static double preference(Input input, Plan plan, Optional<ServingEngine> homeEngine) {
    boolean isHome = homeEngine.filter(first -> first.id().equals(plan.engine().id())).isPresent();
    return isHome ? PREFERRED_ENGINE_TOKENS * input.speed().tokenMillis() : 0;
  }

  private Optional<Plan> cheapest(
      Input input,
      List<ServingEngine> engines,
      Function<ServingEngine, Plan> planFor,
      Optional<ServingEngine> homeEngine) {
    List<Plan> plans = engines.stream().map(planFor).toList();
    double spread = spreadMillis(input, plans);
    return EngineSelector.cheapest(
        plans.stream(),
        plan ->
            plan.cost()
                - preference(input, plan, homeEngine)
                + spread * orderPosition(input, plan.engine()),
        Plan::engine,
        input.progress());
  }

  /**
   * Upper bound, in ms, of the pseudorandom amount that is added to the cost of each plan. It
   * decides between plans whose costs differ by less than this node can know; otherwise all nodes
   * would take the engine that was least loaded a moment ago. Requests that others have placed and
   * this node does not know of keep an engine busy for at most the reporting lag, and only where
   * engines are busy at all.
   */
  private double spreadMillis(Input input, List<Plan> plans) {
    long busy = plans.stream().filter(plan -> plan.aheadTokens() > 0).count();
    return plans.isEmpty() ? 0 : selector.lagMillis(input.nowNanos()) * busy / plans.size();
  }

  /**
   * Position of an engine in the prompt's own order of engines, from 0 to 1. Prompts with the same
   * long shared part have the same order at all nodes, so that the part is read by few engines.
   */
  private static double orderPosition(Input input, ServingEngine engine) {
    PromptShape prompt = input.prompt();
    String key =
        prompt.sharedTokens() >= MIN_ORDERED_TOKENS
            ? prompt.lastSharedPart().map(PromptPart::id).orElseThrow()
            : input.progress().envelope().requestId();
    return RendezvousHash.draw(key, engine.id());
  }
}
