package org.fallturn.core.stages;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/**
 * Tests when an engine changes between prefill and decode: too few prefill engines make prompts
 * wait, too few decode engines slow down streams, and an engine serves no requests while it
 * changes.
 */
class StagePlannerTest {

  private static final int SLOTS = 32;
  private static final long TICK = TimeUnit.MILLISECONDS.toNanos(100);

  private final StagePlanner planner = new StagePlanner(0.35);
  private long now = 1_000_000_000L;

  private static StageView view(String id, EngineStage stage, int running, double waitMillis) {
    String zone = id.substring(id.length() - 1);
    ServingEngine engine =
        new ServingEngine(id, "llm", new NetworkAddress("10.0.0.1", 1), zone, SLOTS, false, stage);
    return new StageView(engine, true, EngineStage.NONE, running, waitMillis);
  }

  /** Five prefill and eight decode engines, as at the start of a day. */
  private static List<StageView> fleet(double prefillWait, int running) {
    return fleet(5, 8, prefillWait, running);
  }

  private static List<StageView> fleet(int prefill, int decode, double wait, int running) {
    List<StageView> views = new ArrayList<>();
    for (int index = 0; index < prefill; index++) {
      views.add(view("p-" + index, EngineStage.PREFILL, 1, wait));
    }
    for (int index = 0; index < decode; index++) {
      views.add(view("d-" + index, EngineStage.DECODE, running, 0));
    }
    return views;
  }

  private Optional<StageChange> after(List<StageView> views, int seconds) {
    for (int tick = 0; tick < 10 * seconds; tick++) {
      now += TICK;
      planner.observe(views, now);
    }
    return planner.wanted(views, now);
  }

  @Test
  void waitingPromptsMoveADecodeEngineToPrefill() {
    StageChange change = after(fleet(200, 2), 3).orElseThrow();
    assertThat(change.stage()).isEqualTo(EngineStage.PREFILL);
    assertThat(change.engine().stage()).isEqualTo(EngineStage.DECODE);
  }

  @Test
  void fleetWithoutWaitingPromptsDoesNotChange() {
    assertThat(after(fleet(20, 2), 30)).isEmpty();
  }

  @Test
  void singleLongPromptCausesNoChange() {
    after(fleet(0, 2), 5);
    planner.observe(fleet(300, 2), now + TICK);
    assertThat(planner.wanted(fleet(300, 2), now + TICK)).isEmpty();
  }

  @Test
  void decodeEnginesWithOccupiedSlotsAreKept() {
    assertThat(after(fleet(200, 20), 3)).isEmpty();
  }

  @Test
  void earlierPeakOfStreamsIsRemembered() {
    after(fleet(0, 16), 3);
    assertThat(after(fleet(200, 2), 3)).isEmpty();
  }

  @Test
  void eachStageKeepsItsMinimumShare() {
    assertThat(after(fleet(8, 5, 500, 1), 5)).isEmpty();
    assertThat(after(fleet(1, 1, 500, 0), 5)).isEmpty();
  }

  @Test
  void competingStreamsMoveAnIdlePrefillEngineToDecode() {
    StageChange change = after(fleet(6, 7, 0, 30), 3).orElseThrow();
    assertThat(change.stage()).isEqualTo(EngineStage.DECODE);
    assertThat(change.engine().stage()).isEqualTo(EngineStage.PREFILL);
  }

  @Test
  void onlyOneEngineOfASmallFleetChangesAtATime() {
    List<StageView> views = fleet(200, 2);
    StageView first = views.get(views.size() - 1);
    views.set(views.size() - 1, new StageView(first.engine(), false, EngineStage.PREFILL, 0, 0));
    assertThat(after(views, 3)).isEmpty();
  }

  @Test
  void changeIsNotReversedImmediately() {
    after(fleet(200, 2), 3);
    planner.onOrdered(EngineStage.PREFILL, now);
    assertThat(after(fleet(6, 7, 0, 31), 5)).isEmpty();
    assertThat(after(fleet(6, 7, 0, 31), 5)).isPresent();
  }

  /**
   * Guards against streams that nobody can continue: the only engine that decodes at a version
   * changed its stage, being the least loaded of its zone.
   */
  @Test
  void lastDecodeEngineOfASoftwareVersionIsKeptWhileAnotherCanChange() {
    List<StageView> views = new ArrayList<>(fleet(6, 8, 200, 2));
    views.add(viewOfVersion("v2", "d-0"));
    assertThat(after(views, 3).orElseThrow().engine().softwareVersion()).isEmpty();
    views.add(viewOfVersion("v2", "e-0"));
    assertThat(after(views, 3).orElseThrow().engine().softwareVersion()).isEqualTo("v2");
  }

  private static StageView viewOfVersion(String version, String id) {
    ServingEngine engine =
        new ServingEngine(
            id + version,
            OptionalLong.empty(),
            "llm",
            version,
            new NetworkAddress("10.0.0.1", 1),
            "0",
            SLOTS,
            false,
            Optional.empty(),
            false,
            EngineStage.DECODE);
    return new StageView(engine, true, EngineStage.NONE, 0, 0);
  }

  @Test
  void engineComesFromTheZoneWithMostEnginesOfItsStage() {
    List<StageView> views = fleet(200, 2);
    views.add(view("extra-3", EngineStage.DECODE, 5, 0));
    assertThat(after(views, 3).orElseThrow().engine().zone()).isEqualTo("3");
  }

  /**
   * Guards against a stage that stays too small. Three engines were ordered to change to prefill,
   * and then three of the decode engines left.
   */
  @Test
  void stageBelowItsMinimumIsFilledUpRegardlessOfLoad() {
    planner.onOrdered(EngineStage.PREFILL, now);
    assertThat(afterAsking(fleet(9, 2, 200, 1), 2)).as("the engines may be listed again").isEmpty();
    StageChange change = afterAsking(fleet(9, 2, 200, 1), 3).orElseThrow();
    assertThat(change.stage()).isEqualTo(EngineStage.DECODE);
    assertThat(afterAsking(fleet(6, 6, 0, 1), 2)).isEmpty();
    StageChange back = afterAsking(fleet(2, 9, 0, 1), 4).orElseThrow();
    assertThat(back.stage()).isEqualTo(EngineStage.PREFILL);
  }

  /**
   * Guards against long waits of the first callers of a day. With empty caches every prompt was
   * read as a whole, while two thirds of the engines were in the decode stage and idle.
   */
  @Test
  void halfOfTheEnginesDoPrefillBeforeTheFirstCaller() {
    List<StageView> idle = fleet(4, 9, 0, 0).stream().map(StagePlannerTest::unused).toList();
    StageChange change = afterAsking(idle, 4).orElseThrow();
    assertThat(change.stage()).isEqualTo(EngineStage.PREFILL);
    List<StageView> even = fleet(6, 7, 0, 0).stream().map(StagePlannerTest::unused).toList();
    assertThat(afterAsking(even, 4)).isEmpty();
  }

  private static StageView unused(StageView view) {
    return new StageView(view.engine(), true, EngineStage.NONE, 0, 0);
  }

  /** Once load has been seen, waiting times decide, and an even split is not restored. */
  @Test
  void evenSplitIsNotRestoredAfterLoadWasSeen() {
    after(fleet(9, 4, 20, 1), 1);
    List<StageView> idle = fleet(9, 5, 0, 0).stream().map(StagePlannerTest::unused).toList();
    assertThat(afterAsking(idle, 6)).isEmpty();
  }

  /** Asks for the wanted change at each tick, as the node does. */
  private Optional<StageChange> afterAsking(List<StageView> views, int seconds) {
    Optional<StageChange> wanted = Optional.empty();
    for (int tick = 0; tick < 10 * seconds; tick++) {
      now += TICK;
      planner.observe(views, now);
      wanted = planner.wanted(views, now);
    }
    return wanted;
  }
}
