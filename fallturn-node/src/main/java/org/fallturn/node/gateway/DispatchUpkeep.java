package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.stages.StageChange;
import org.fallturn.node.duty.TickPart;

/**
 * The periodic work of the dispatch duty that no request waits for: the health of engines, their
 * stages and number, and this node's share of their connections. Only the dispatch thread calls.
 */
final class DispatchUpkeep {

  /** How often engines are checked for silence. The bounds on silence are some hundred ms. */
  private static final Duration HEALTH_INTERVAL = Duration.ofMillis(50);

  /** How often this node checks whether an engine should change its stage. */
  private static final Duration STAGE_INTERVAL = Duration.ofMillis(100);

  /**
   * How often this node updates its share of the engines' connections; it visits all engines, and
   * load moves between nodes over seconds.
   */
  private static final Duration SHARE_INTERVAL = Duration.ofMillis(500);

  /**
   * How often a node that orders stages logs the figures that it decides by: one line a second for
   * each service.
   */
  private static final Duration OUTLOOK_INTERVAL = Duration.ofSeconds(1);

  private final Dispatcher dispatcher;
  private final EngineClient engines;
  private final DecisionLog log;
  private final PathActions paths;
  private final Scaling scaling;
  private final Consumer<StageChange> stageChanges;

  DispatchUpkeep(
      Dispatcher dispatcher,
      EngineClient engines,
      DecisionLog log,
      PathActions paths,
      Scaling scaling,
      Consumer<StageChange> stageChanges) {
    this.dispatcher = dispatcher;
    this.engines = engines;
    this.log = log;
    this.paths = paths;
    this.scaling = scaling;
    this.stageChanges = stageChanges;
  }

  /**
   * The parts, in the order in which they run.
   *
   * @param updateQuarantine carries out what quarantine has decided; called with the present time
   *     in nanoTime, as often as health is checked
   */
  List<TickPart> parts(LongConsumer updateQuarantine) {
    return List.of(
        new TickPart("health", HEALTH_INTERVAL, this::updateHealth),
        new TickPart("quarantine", HEALTH_INTERVAL, updateQuarantine),
        new TickPart("stage-choice", STAGE_INTERVAL, this::updateStages),
        new TickPart("load-shares", SHARE_INTERVAL, this::updateLoadShares),
        new TickPart("outlook", OUTLOOK_INTERVAL, this::logOutlooks));
  }

  private void updateHealth(long now) {
    dispatcher.onTick(now);
    paths.onTick(now);
    dispatcher.takeHealthChanges(now).forEach(log::engineHealth);
    dispatcher.takePaceChanges(now).forEach(log::enginePace);
  }

  private void updateStages(long now) {
    log.logDroppedLines();
    dispatcher.wantedStageChange(now).ifPresent(stageChanges);
    scaling.onTick(dispatcher.stages().leads(now), now);
  }

  private void updateLoadShares(long now) {
    engines.setLoadShares(dispatcher.fleet().loadShares(now));
  }

  private void logOutlooks(long now) {
    dispatcher.stages().outlooks(now).forEach(log::stageOutlook);
  }
}
