package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Engines announce in their answers that they are leaving or want a rest, a period without
 * requests. A node that ignores these notices keeps using a leaving engine until the directory
 * changes, and prefers an engine that refuses every request, since it has the least load.
 */
class EngineNoticesTest {

  /** How long the dispatchers of {@link Requests} may still use a leaving engine. */
  private static final Duration LAST_RESORT = Duration.ofMillis(1_400);

  private static final int STEPS = 600;
  private static final int MAX_STEP_MILLIS = 40;
  private static final int MAX_REST_MILLIS = 4_000;

  private final ServingEngine appOne =
      Requests.engine("a-1", Requests.APPLICATION, EngineStage.NONE);
  private final ServingEngine appTwo =
      Requests.engine("a-2", Requests.APPLICATION, EngineStage.NONE);

  private static long after(long millis) {
    return Requests.START + Duration.ofMillis(millis).toNanos();
  }

  private static RequestProgress request() {
    return requestAt(Requests.START);
  }

  private static RequestProgress requestAt(long nowNanos) {
    return Requests.applicationAt(nowNanos, RequestKind.IDEMPOTENT, 3);
  }

  private static String engineOf(Decision decision) {
    return ((Decision.Run) decision).engine().id();
  }

  private static Duration retryAfter(Decision decision) {
    Decision.Refuse refuse = (Decision.Refuse) decision;
    assertThat(refuse.kind()).isEqualTo(ErrorKind.NO_CAPACITY);
    return refuse.retryAfter().orElseThrow();
  }

  private static void announceLeaving(Dispatcher dispatcher, ServingEngine engine, long nowNanos) {
    dispatcher.notices().onLeaving(engine.id(), NoticeSource.ANSWER, nowNanos);
    dispatcher.takeLeaving(nowNanos);
  }

  private static void announceRest(
      Dispatcher dispatcher, ServingEngine engine, long millis, long now) {
    dispatcher.notices().onRest(engine.id(), Duration.ofMillis(millis).toNanos(), now);
  }

  /** Expected state of one engine according to its notices; reference model of the property. */
  private static final class EngineModel {
    private final ServingEngine engine;
    private OptionalLong leavingSince = OptionalLong.empty();
    private long restEnd = Long.MIN_VALUE;

    EngineModel(ServingEngine engine) {
      this.engine = engine;
    }

    boolean rests(long nowNanos) {
      return nowNanos < restEnd;
    }

    boolean acceptsRequests(long nowNanos) {
      return leavingSince.isEmpty() && !rests(nowNanos);
    }
  }

  /**
   * Checks for random sequences of notices that no request goes to an engine that rests, that none
   * goes to a leaving engine while another accepts requests or once {@link #LAST_RESORT} has passed
   * since its notice, and that no request is refused while an engine accepts requests.
   */
  @Property(tries = 60)
  void noticesOfEnginesAreObeyed(@ForAll long seed) {
    Random random = new Random(seed);
    Map<String, EngineModel> modelsById = new HashMap<>();
    for (int number = 0; number < 4; number++) {
      ServingEngine engine = Requests.engine("a-" + number, Requests.APPLICATION, EngineStage.NONE);
      modelsById.put(engine.id(), new EngineModel(engine));
    }
    Dispatcher dispatcher =
        Requests.dispatcherWithoutWaits(
            modelsById.values().stream().map(model -> model.engine).toArray(ServingEngine[]::new));
    List<RequestProgress> running = new ArrayList<>();
    long now = Requests.START;
    for (int step = 0; step < STEPS; step++) {
      now += Duration.ofMillis(random.nextInt(MAX_STEP_MILLIS)).toNanos();
      EngineModel chosen = modelsById.get("a-" + random.nextInt(modelsById.size()));
      switch (random.nextInt(12)) {
        case 0 -> {
          int millis = random.nextInt(MAX_REST_MILLIS);
          announceRest(dispatcher, chosen.engine, millis, now);
          chosen.restEnd = Math.max(chosen.restEnd, now + Duration.ofMillis(millis).toNanos());
        }
        case 1 -> {
          if (random.nextInt(STEPS / 24) == 0 && chosen.leavingSince.isEmpty()) {
            announceLeaving(dispatcher, chosen.engine, now);
            chosen.leavingSince = OptionalLong.of(now);
          }
        }
        case 2 ->
            dispatcher.setDirectory(
                EngineDirectory.of(
                    step, modelsById.values().stream().map(model -> model.engine).toList()),
                now);
        case 3, 4, 5 -> {
          if (!running.isEmpty()) {
            dispatcher.onFinished(running.remove(random.nextInt(running.size())), now);
          }
        }
        default -> {
          RequestProgress request = requestAt(now);
          Decision decision = dispatcher.start(request, now);
          check(modelsById, decision, now);
          if (decision instanceof Decision.Run) {
            running.add(request);
          }
        }
      }
    }
  }

  private static void check(Map<String, EngineModel> modelsById, Decision decision, long now) {
    boolean anyAcceptsRequests =
        modelsById.values().stream().anyMatch(model -> model.acceptsRequests(now));
    if (!(decision instanceof Decision.Run run)) {
      assertThat(anyAcceptsRequests).as("refused while an engine was open").isFalse();
      return;
    }
    EngineModel chosen = modelsById.get(run.engine().id());
    assertThat(chosen.rests(now)).as("sent to an engine that rests").isFalse();
    if (chosen.leavingSince.isPresent()) {
      assertThat(anyAcceptsRequests).as("sent to an engine that leaves").isFalse();
      assertThat(now - chosen.leavingSince.getAsLong()).isLessThan(LAST_RESORT.toNanos());
    }
  }

  @Test
  void leavingEnginesAreUsedAsLastResortForALimitedTime() {
    Dispatcher dispatcher = Requests.dispatcher(appOne, appTwo);
    announceLeaving(dispatcher, appOne, after(10));
    announceLeaving(dispatcher, appTwo, after(500));
    assertThat(engineOf(dispatcher.start(request(), after(600)))).isIn("a-1", "a-2");
    assertThat(engineOf(dispatcher.start(request(), after(1_500)))).isEqualTo("a-2");
    assertThat(dispatcher.start(request(), after(1_900))).isInstanceOf(Decision.Refuse.class);
  }

  @Test
  void newDirectoryEntryDoesNotCancelALeavingNotice() {
    Dispatcher dispatcher = Requests.dispatcher(appOne, appTwo);
    announceLeaving(dispatcher, appOne, after(10));
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(appTwo)), after(20));
    dispatcher.setDirectory(EngineDirectory.of(3, List.of(appOne, appTwo)), after(9_000));
    for (int number = 0; number < 20; number++) {
      RequestProgress request = requestAt(after(9_010));
      assertThat(engineOf(dispatcher.start(request, after(9_010)))).isEqualTo("a-2");
    }
  }

  @Test
  void restartedEngineBeginsWithoutNotices() {
    ServingEngine first = engineStartedAt(1);
    ServingEngine second = engineStartedAt(2);
    Dispatcher dispatcher = Requests.dispatcher(first);
    announceLeaving(dispatcher, first, after(10));
    announceRest(dispatcher, first, 60_000, after(10));
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(second)), after(20));
    assertThat(engineOf(dispatcher.start(request(), after(30)))).isEqualTo(second.id());
  }

  private ServingEngine engineStartedAt(long millis) {
    return new ServingEngine(
        "a-9",
        OptionalLong.of(millis),
        Requests.APPLICATION,
        "",
        appOne.address(),
        "zone-1",
        8,
        false,
        Optional.empty(),
        false,
        EngineStage.NONE);
  }

  @Test
  void leavingEngineIsAvoidedAndReportedWhileItIsListed() {
    Dispatcher dispatcher = Requests.dispatcher(appOne, appTwo);
    RequestProgress earlier = request();
    String used = engineOf(dispatcher.start(earlier, after(5)));
    EngineDigest digest =
        new EngineDigest(0, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD).withLeaving(1);
    Requests.receive(
        dispatcher,
        new LoadDigest("node-2", 1, 1, Map.of(used, digest), List.of(), Map.of()),
        after(10));
    assertThat(dispatcher.takeLeaving(after(11)))
        .containsExactly(new LeavingNotice(used, NoticeSource.PEER));
    assertThat(engineOf(dispatcher.start(request(), after(12)))).isNotEqualTo(used);
    assertThat(dispatcher.fleet().ownLoads(after(12)).get(used).leaving()).isEqualTo(1);
    List<ServingEngine> entries =
        Stream.of(appOne, appTwo)
            .map(engine -> engine.id().equals(used) ? engine.asLeaving() : engine)
            .toList();
    dispatcher.setDirectory(EngineDirectory.of(2, entries), after(20));
    assertThat(dispatcher.fleet().ownLoads(after(21)).get(used).leaving()).isEqualTo(1);
    dispatcher.onAbandoned(earlier, after(22));
    List<ServingEngine> left = entries.stream().filter(engine -> !engine.leaving()).toList();
    dispatcher.setDirectory(EngineDirectory.of(3, left), after(30));
    assertThat(dispatcher.fleet().ownLoads(after(31))).doesNotContainKey(used);
  }

  /**
   * A node that could not read the directory for seconds sent requests to a leaving engine, though
   * the nodes around it knew from the directory that the engine was leaving.
   */
  @Test
  void nodeWithAnOlderDirectoryLearnsFromOthersThatAnEngineIsLeaving() {
    Dispatcher informed = Requests.dispatcher(appOne, appTwo);
    Dispatcher outdated = Requests.dispatcher(appOne, appTwo);
    informed.setDirectory(EngineDirectory.of(2, List.of(appOne.asLeaving(), appTwo)), after(10));
    Map<String, EngineDigest> reported = informed.fleet().ownLoads(after(20));
    Requests.receive(
        outdated, new LoadDigest("node-2", 1, 1, reported, List.of(), Map.of()), after(30));
    assertThat(outdated.takeLeaving(after(31)))
        .containsExactly(new LeavingNotice("a-1", NoticeSource.PEER));
    for (int number = 0; number < 10; number++) {
      assertThat(engineOf(outdated.start(request(), after(40)))).isEqualTo("a-2");
    }
  }

  @Test
  void refusalAsksToRetryAfterTheFirstRestEnds() {
    Dispatcher dispatcher = Requests.dispatcher(appOne, appTwo);
    announceRest(dispatcher, appOne, 3_000, after(0));
    announceRest(dispatcher, appTwo, 2_000, after(0));
    Duration first = retryAfter(dispatcher.start(request(), after(500)));
    assertThat(first).isBetween(Duration.ofMillis(1_500), Duration.ofMillis(1_900));
    assertThat(engineOf(dispatcher.start(request(), after(500 + first.toMillis() + 1))))
        .isEqualTo("a-2");
  }

  /**
   * Guards against a burst at the end of a rest: if the node sent all requests to the engine at
   * once, the engine would refuse them all, and each would need a repeat.
   */
  @Test
  void oneRequestProbesWhetherARestHasEnded() {
    Dispatcher dispatcher = Requests.dispatcher(appOne, appTwo);
    announceRest(dispatcher, appOne, 1_000, after(0));
    RequestProgress first = request();
    assertThat(engineOf(dispatcher.start(first, after(1_001)))).isIn("a-1", "a-2");
    List<RequestProgress> sent = new ArrayList<>();
    for (int number = 0; number < 10; number++) {
      RequestProgress request = request();
      dispatcher.start(request, after(1_010));
      sent.add(request);
    }
    assertThat(sent.stream().filter(request -> at(request, "a-1")).count()).isLessThanOrEqualTo(1);
    Stream.concat(Stream.of(first), sent.stream())
        .filter(request -> at(request, "a-1"))
        .forEach(request -> dispatcher.onFinished(request, after(1_050)));
    for (int number = 0; number < 5; number++) {
      assertThat(engineOf(dispatcher.start(request(), after(1_060)))).isEqualTo("a-1");
    }
  }

  private static boolean at(RequestProgress request, String engineId) {
    return request.engine().filter(engine -> engine.id().equals(engineId)).isPresent();
  }

  /**
   * A request that was waiting for a connection when its engine began to rest goes to another
   * engine, and does not count as a failure of the first.
   */
  @Test
  void heldBackRequestIsSentToAnotherEngineWithoutARepeat() {
    Dispatcher dispatcher = Requests.dispatcher(0, appOne, appTwo);
    for (int number = 0; number < 20; number++) {
      RequestProgress request = Requests.application(RequestKind.NON_IDEMPOTENT, 1);
      String first = engineOf(dispatcher.start(request, after(number)));
      Decision next = dispatcher.onFailure(request, AttemptOutcome.HELD_BACK, after(number));
      assertThat(engineOf(next)).isNotEqualTo(first);
      dispatcher.onFinished(request, after(number));
    }
    assertThat(dispatcher.takeHealthChanges(after(30))).isEmpty();
  }

  @Test
  void beginningSendIsStoppedWhileItsEngineRestsOrAfterTheLastResort() {
    Dispatcher dispatcher = Requests.dispatcher(appOne, appTwo);
    EngineNotices notices = dispatcher.notices();
    assertThat(notices.takesRequests("a-1", after(0))).isTrue();
    announceRest(dispatcher, appOne, 100, after(0));
    assertThat(notices.takesRequests("a-1", after(50))).isFalse();
    assertThat(notices.takesRequests("a-1", after(100))).isTrue();
    announceLeaving(dispatcher, appOne, after(200));
    assertThat(notices.takesRequests("a-1", after(200))).isTrue();
    assertThat(notices.takesRequests("a-1", after(200) + LAST_RESORT.toNanos())).isFalse();
  }

  @Test
  void longestRestAppliesAndEveryRestEnds() {
    EngineNotices notices = Requests.dispatcher(appOne).notices();
    assertThat(notices.onRest("a-1", Duration.ofSeconds(3).toNanos(), after(0))).isTrue();
    assertThat(notices.onRest("a-1", Duration.ofSeconds(1).toNanos(), after(0))).isFalse();
    assertThat(notices.rests("a-1", after(2_999))).isTrue();
    assertThat(notices.rests("a-1", after(3_000))).isFalse();
    assertThat(notices.onRest("a-1", 0, after(4_000))).isFalse();
    assertThat(notices.rests("a-1", after(4_000))).isFalse();
  }
}
