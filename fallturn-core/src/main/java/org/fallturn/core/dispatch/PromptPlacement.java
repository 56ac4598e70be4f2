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
 * Chooses how a prompt is read: by a prefill engine whose KV cache a decode engine fetches, or by
 * the decode engine itself; and for each, whether parts that another engine keeps are copied from
 * there. Each way is priced by the time to the first token, in ms: tokens that wait there, tokens
 * to be read, moves of KV cache, distance and health; and by what it costs the fleet to read shared
 * parts again. One thread calls.
 */
final class PromptPlacement {

  /** A second call and the start of a move. */
  private static final double SECOND_CALL_MILLIS = 8;

  private static final double OTHER_ZONE_MILLIS = 3;

  /**
   * Nodes that have not heard of each other's placements yet read a new part at one engine, unless
   * more tokens wait there than this, over those of another. The earlier 20 ms, where 61 tokens are
   * read in a ms.
   */
  private static final double HOME_TOKENS = 1_200;

  /**
   * An engine of which every answer fails costs so many times the route's target: the earlier 300
   * ms, where the target is 500.
   */
  private static final double FAILURE_TARGETS = 0.6;

  /**
   * A request that runs holds up a new one for as long as so many tokens take to be read: the
   * earlier 0.3 ms, where 61 are read in a ms.
   */
  private static final double RUNNING_TOKENS = 18;

  /**
   * Price of reading a token again that an engine keeps, beside the time it takes, as its part: the
   * earlier 0.02 ms, where 61 are read in a ms.
   */
  private static final double READ_AGAIN_PART = 1.2;

  /**
   * Prompts whose shared parts are shorter are spread by request, since reading the part twice
   * costs little: the length below which parts are not copied either.
   */
  private static final int MIN_ORDERED_TOKENS = EngineSelector.MIN_COPIED_TOKENS;

  private final EngineSelector selector;
  private final String zone;

  /** Part of the longest pause between events that reading may take up; steps need the rest. */
  private static final double READING_SHARE_OF_PAUSE = 0.5;

  /**
   * Of the time that a prompt is read at a decode engine, what it costs each stream there: a part
   * only, since a stream is late by a pause that is too long and not by each delay. Round t7 of
   * docs/experiments/further.md; other parts were not tried.
   */
  private static final double SLOWED_PART = 0.2;

  /**
   * Streams that are taken to run at a decode engine at least, since short answers are not counted
   * one by one: the factor with which round 10 of docs/experiments/platform.md was measured; others
   * were not tried.
   */
  private static final int LEAST_STREAMS = 3;

  /**
   * What each stream of an engine is worth to a long answer that might run beside it, in ms: ten
   * streams outweigh a zone's distance. Round t7; other figures were not tried.
   */
  private static final double PACKED_MILLIS = 0.5;

  /**
   * Room for times that come out longer than expected. Under a backlog the ninth tenth of the real
   * times was 1.25 times that of the expected ones at prefill engines
   * (docs/experiments/further.md); other margins were not tried.
   */
  private static final double IN_TIME_MARGIN = 1.2;

  /** Real times may be so much of those expected; in doubt a prompt keeps its place. */
  private static final double SURELY_LATE_PART = 0.6;

  /**
   * What is late goes behind all others only while that would leave it half of its caller's time:
   * more that go before it may come.
   */
  private static final double YIELDING_MARGIN = 2;

  private static final double NANOS_PER_MILLI = 1e6;

  private static final double PERCENT = 100;

  /**
   * An engine and what is to be done there.
   *
   * @param engine the engine
   * @param prefill whether it only reads the prompt
   * @param fetchFrom engine whose cached parts are copied first
   * @param readTokens tokens it has to read
   * @param aheadTokens tokens that wait there before
   * @param urgency order among the engine's requests
   * @param millis expected time to the first token
   * @param cost the time and what else it costs, in ms
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
   * What one choice is made from.
   *
   * @param waiting which decisions on competing requests are made
   */
  record Question(
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

    /** Whether an answer that begins so many ms from now begins in time. */
    boolean inTime(double millis) {
      return age() + IN_TIME_MARGIN * millis <= target();
    }

    /** Whether it begins too late also when it takes much less time than expected. */
    boolean surelyLate(double millis) {
      return age() + SURELY_LATE_PART * millis > target();
    }

    private double age() {
      return (nowNanos - progress.envelope().arrivedNanos()) / NANOS_PER_MILLI;
    }

    private double target() {
      return route().targetLatency().toNanos() / NANOS_PER_MILLI;
    }
  }

  /** What goes before a request at an engine, and how long it takes with that. */
  private record Wait(Urgency urgency, long aheadTokens, double millis) {}

  /** How an engine comes by the beginning of a prompt. */
  private record Reading(
      Optional<ServingEngine> fetchFrom, int readTokens, double fetchMillis, int readAgain) {}

  PromptPlacement(EngineSelector selector, String zone) {
    this.selector = selector;
    this.zone = zone;
  }

  /** The best way; empty when no engine can take the prompt. */
  Optional<Plan> choose(Question question, boolean mayPrefill) {
    Optional<Plan> direct =
        cheapest(
            question,
            selector.runCandidates(question.progress(), question.nowNanos()),
            engine -> runPlan(question, engine),
            Optional.empty());
    if (!mayPrefill) {
      return direct;
    }
    List<ServingEngine> candidates =
        selector.prefillCandidates(question.progress(), question.nowNanos());
    Optional<ServingEngine> home = selector.home(question.prompt(), candidates);
    Optional<Plan> ahead =
        cheapest(question, candidates, engine -> prefillPlan(question, engine), home);
    if (direct.isEmpty() || ahead.isEmpty()) {
      return direct.or(() -> ahead);
    }
    return ahead.get().cost() < direct.get().cost() ? ahead : direct;
  }

  private Plan prefillPlan(Question question, ServingEngine engine) {
    Function<Long, Double> readMillis =
        tokens -> slowness(question, engine) * question.speed().prefillMillis(tokens);
    Reading reading = bestReading(question, engine, readMillis);
    double besides =
        reading.fetchMillis()
            + CacheCopyTime.moveMillis(question.prompt().promptTokens(), question.profile())
            + SECOND_CALL_MILLIS
            + cacheWaitMillis(question, engine, selector.running(engine, question.nowNanos()))
            + commonMillis(question, engine, zone);
    Wait wait =
        waitFor(
            question, engine, ahead -> readMillis.apply(ahead + reading.readTokens()) + besides);
    return plan(question, engine, true, reading, wait, 0);
  }

  /**
   * Among those that can be answered in time when it can be so itself, else behind them. One that
   * has waited through a refusal goes before those that are new and late.
   *
   * @param millis time to the first token by the tokens that go before
   */
  private Wait waitFor(Question question, ServingEngine engine, LongToDoubleFunction millis) {
    if (question.progress().source().isPresent()) {
      return wait(question, engine, millis, Urgency.READ);
    }
    Wait inTime = wait(question, engine, millis, Urgency.IN_TIME);
    RequestEnvelope envelope = question.progress().envelope();
    boolean returned =
        question.waiting().refuseForeseen() && envelope.hasReturned(envelope.arrivedNanos());
    return returned || question.inTime(inTime.millis())
        ? inTime
        : waitLate(question, engine, millis);
  }

  private Wait waitLate(Question question, ServingEngine engine, LongToDoubleFunction millis) {
    RequestEnvelope envelope = question.progress().envelope();
    Wait late = wait(question, engine, millis, Urgency.LATE);
    if (question.waiting().lateYields()
        && Urgency.canYield(envelope.rank())
        && question.surelyLate(late.millis())) {
      Wait yielding = wait(question, engine, millis, Urgency.YIELDING);
      double left = envelope.remainingToBeginNanos(question.nowNanos()) / NANOS_PER_MILLI;
      if (YIELDING_MARGIN * yielding.millis() <= left) {
        return yielding;
      }
    }
    return late;
  }

  private Wait wait(
      Question question, ServingEngine engine, LongToDoubleFunction millis, Urgency urgency) {
    int level = urgency.level(question.progress().envelope().rank());
    long ahead = selector.aheadTokens(engine, level, question.nowNanos());
    return new Wait(urgency, ahead, millis.applyAsDouble(ahead));
  }

  private Plan runPlan(Question question, ServingEngine engine) {
    Optional<CacheSource> source = question.progress().source();
    String near = source.map(from -> from.engine().zone()).orElse(zone);
    Function<Long, Double> readMillis =
        tokens -> slowness(question, engine) * question.speed().decodeMillis(tokens);
    Reading reading =
        source.isPresent()
            ? handedOver(question, engine, source.get())
            : bestReading(question, engine, readMillis);
    int running = selector.running(engine, question.nowNanos());
    double besides =
        reading.fetchMillis()
            + RUNNING_TOKENS * question.speed().tokenMillis() * running
            + crowdedMillis(question, engine, running)
            + cacheWaitMillis(question, engine, running)
            + commonMillis(question, engine, near);
    Wait wait =
        waitFor(
            question, engine, ahead -> readMillis.apply(ahead + reading.readTokens()) + besides);
    int streams = selector.streams(engine, question.nowNanos());
    double harm = harmMillis(question, engine, reading, streams);
    return plan(question, engine, false, reading, wait, harm - packedMillis(question, streams));
  }

  private double slowness(Question question, ServingEngine engine) {
    return selector.slowness(engine, WorkKind.READING, question.nowNanos());
  }

  /** What reading the prompt here costs the streams of the engine. */
  private double harmMillis(Question question, ServingEngine engine, Reading reading, int streams) {
    if (reading.readTokens() == 0) {
      return 0;
    }
    long backlog = selector.backlogTokens(engine, question.nowNanos());
    double slowed = SLOWED_PART * question.speed().decodeMillis(reading.readTokens());
    double delayed = delayMillis(question, backlog, reading);
    return streams * slowed + Math.max(LEAST_STREAMS, streams) * delayed;
  }

  /**
   * Long answers go where others run already, so that other engines can read prompts between the
   * tokens of few.
   */
  private static double packedMillis(Question question, int streams) {
    return question.prompt().longAnswer() ? PACKED_MILLIS * streams : 0;
  }

  /**
   * By how much reading the prompt here would stretch the pauses of the streams that run here
   * beyond what they may be: a decode engine reads between the tokens of its streams.
   */
  private static double delayMillis(Question question, long backlog, Reading reading) {
    long longest = question.progress().envelope().route().eventGapTarget().toNanos();
    if (longest == 0) {
      return 0;
    }
    double stretch = question.speed().decodeMillis(backlog + reading.readTokens());
    return Math.max(0, stretch - READING_SHARE_OF_PAUSE * longest / NANOS_PER_MILLI);
  }

  private Plan plan(
      Question question,
      ServingEngine engine,
      boolean prefill,
      Reading reading,
      Wait wait,
      double harm) {
    double cost = wait.millis() + readAgainMillis(question, reading.readAgain()) + harm;
    return new Plan(
        engine,
        prefill,
        reading.fetchFrom(),
        reading.readTokens(),
        wait.aheadTokens(),
        wait.urgency(),
        wait.millis(),
        cost,
        slowness(question, engine));
  }

  private static Reading handedOver(Question question, ServingEngine engine, CacheSource source) {
    double millis =
        CacheCopyTime.copyMillis(
            question.prompt().promptTokens(), source.engine(), engine, question.profile());
    return new Reading(Optional.empty(), 0, millis, 0);
  }

  /** Reads what the engine does not keep, or copies from whoever keeps more when that is faster. */
  private Reading bestReading(
      Question question, ServingEngine engine, Function<Long, Double> readMillis) {
    PromptShape prompt = question.prompt();
    int own = selector.uncachedTokens(engine, prompt);
    Optional<PrefixHolders.Holder> holder = question.holders().sourceFor(engine);
    int again = readAgain(question, own);
    if (holder.isEmpty()) {
      return new Reading(Optional.empty(), own, 0, again);
    }
    ServingEngine from = holder.get().engine();
    int afterCopy = Math.max(0, prompt.promptTokens() - holder.get().tokens());
    int copied = own - afterCopy;
    if (copied <= 0) {
      return new Reading(Optional.empty(), own, 0, again);
    }
    double copyMillis = CacheCopyTime.copyMillis(copied, from, engine, question.profile());
    if (copyMillis < readMillis.apply((long) copied) + readAgainMillis(question, copied)) {
      return new Reading(Optional.of(from), afterCopy, copyMillis, 0);
    }
    return new Reading(Optional.empty(), own, 0, again);
  }

  private static double readAgainMillis(Question question, int tokens) {
    return READ_AGAIN_PART * question.speed().tokenMillis() * tokens;
  }

  /** Of the tokens to be read, those that another engine keeps or is about to have read. */
  private static int readAgain(Question question, int own) {
    int newTokens = question.prompt().promptTokens() - question.holders().soonTokens();
    return Math.max(0, own - Math.max(0, newTokens));
  }

  /**
   * Past its slots a request waits for another to end. One whose prompt has been read can only go
   * to an engine of this kind, and goes where slots come free soonest: one does each time in which
   * a request runs, divided by the slots. That price for others would send them to be read ahead,
   * to engines that may be the shorter ones.
   */
  private double crowdedMillis(Question question, ServingEngine engine, int running) {
    int over = Math.max(0, running + 1 - engine.slots());
    if (over == 0 || question.progress().source().isEmpty()) {
      return over * SECOND_CALL_MILLIS;
    }
    double stay = selector.stays().workMillis(question.progress().service()).orElse(0);
    double slowness = selector.slowness(engine, WorkKind.DECODING, question.nowNanos());
    return over * Math.max(SECOND_CALL_MILLIS, slowness * stay / Math.max(1, engine.slots()));
  }

  /** Beyond the KV cache a request waits too, or evicts what is less urgent. */
  private double cacheWaitMillis(Question question, ServingEngine engine, int running) {
    if (question.profile().isEmpty() || !question.waiting().cacheRoom()) {
      return 0;
    }
    return KvCacheWait.waitMillis(
        running,
        selector.cacheTokens(engine, question.nowNanos()),
        engine.slots(),
        question.progress().cacheTokens(),
        question.profile().get().cacheTokens(),
        selector.stays().workMillis(question.progress().service()).orElse(0));
  }

  private double commonMillis(Question question, ServingEngine engine, String near) {
    double target = question.route().targetLatency().toNanos() / NANOS_PER_MILLI;
    return (engine.zone().equals(near) ? 0 : OTHER_ZONE_MILLIS)
        + FAILURE_TARGETS
            * target
            * selector.load(engine).health().failureShare(question.nowNanos());
  }

  private static double preference(Question question, Plan plan, Optional<ServingEngine> home) {
    boolean isHome = home.filter(first -> first.id().equals(plan.engine().id())).isPresent();
    return isHome ? HOME_TOKENS * question.speed().tokenMillis() : 0;
  }

  private Optional<Plan> cheapest(
      Question question,
      List<ServingEngine> engines,
      Function<ServingEngine, Plan> planFor,
      Optional<ServingEngine> home) {
    List<Plan> plans = engines.stream().map(planFor).toList();
    double spread = spreadMillis(question, plans);
    return EngineSelector.cheapest(
        plans.stream(),
        plan ->
            plan.cost()
                - preference(question, plan, home)
                + spread * place(question, plan.engine()),
        Plan::engine,
        question.progress());
  }

  /**
   * By how much plans are told apart that differ by less than what is not known yet: else all nodes
   * take the engine that was the least loaded a moment ago. What others place before it is known
   * here keeps an engine busy for the lag at the most, where engines are busy at all.
   */
  private double spreadMillis(Question question, List<Plan> plans) {
    long busy = plans.stream().filter(plan -> plan.aheadTokens() > 0).count();
    return plans.isEmpty() ? 0 : selector.lagMillis(question.nowNanos()) * busy / plans.size();
  }

  /**
   * The place of an engine in a prompt's own order of engines, from 0 to 1. Prompts with the same
   * long shared part have the same order at all nodes, so that the part is read at few engines.
   */
  private static double place(Question question, ServingEngine engine) {
    PromptShape prompt = question.prompt();
    String key =
        prompt.sharedTokens() >= MIN_ORDERED_TOKENS
            ? prompt.lastSharedPart().map(PromptPart::id).orElseThrow()
            : question.progress().envelope().requestId();
    return RendezvousHash.draw(key, engine.id());
  }
}
