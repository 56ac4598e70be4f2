package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a leaving engine whose announced end lies so far ahead that the list of engines is
 * no longer followed.
 */
class RecentDeparturesTest {

  private static final String SOFTWARE = "v1";

  private final ServingEngine first =
      Requests.engine("a-1", Requests.APPLICATION, SOFTWARE, EngineStage.NONE);
  private final ServingEngine second =
      Requests.engine("a-2", Requests.APPLICATION, SOFTWARE, EngineStage.NONE);
  private final ServingEngine third =
      Requests.engine("a-3", Requests.APPLICATION, SOFTWARE, EngineStage.NONE);

  private static ServingEngine leavingIn(ServingEngine engine, Duration left) {
    return new ServingEngine(
        engine.listedId(),
        OptionalLong.empty(),
        engine.service(),
        engine.softwareVersion(),
        engine.address(),
        engine.zone(),
        engine.slots(),
        true,
        Optional.of(left),
        false,
        engine.stage());
  }

  private static String servedBy(Dispatcher dispatcher, long nowNanos) {
    RequestProgress request = Requests.applicationAt(nowNanos, RequestKind.NON_IDEMPOTENT, 1);
    Decision decision = dispatcher.start(request, nowNanos);
    assertThat(decision).isInstanceOf(Decision.Run.class);
    return ((Decision.Run) decision).engine().id();
  }

  @ParameterizedTest
  @ValueSource(longs = {10_000_000_000_000L, 1_000_000_000_000_000L, Long.MAX_VALUE})
  void followsTheListAlthoughAnEngineLeavesInMoreThanTheRangeOfNanoseconds(long millis) {
    Dispatcher dispatcher = Requests.dispatcher(first);
    ServingEngine leaving = leavingIn(first, Duration.ofMillis(millis));
    long now = Requests.START + 1;
    dispatcher.setDirectory(EngineDirectory.of(2, List.of(leaving, second)), now);
    assertThat(servedBy(dispatcher, now)).isEqualTo(second.id());
    now++;
    dispatcher.setDirectory(EngineDirectory.of(3, List.of(leaving, third)), now);
    assertThat(servedBy(dispatcher, now)).isEqualTo(third.id());
  }
}
