package org.fallturn.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.EngineState.Activity;
import org.fallturn.core.port.engine.OrderNumber;
import org.junit.jupiter.api.Test;

/**
 * Tests which engine loads the wanted version next, so that a rollout never takes too many engines
 * of a role away.
 */
class VersionRolloutTest {

  private final VersionRollout rollout = new VersionRollout();

  private void reportState(String engine, EngineRole role, String version, Activity activity) {
    rollout.onState(
        new EngineState(
            new EngineId(engine),
            1,
            OrderNumber.NONE,
            role,
            new ModelName("model"),
            version,
            Map.of(),
            activity,
            false,
            0));
  }

  @Test
  void oneAtATimeFromTheLargerRoleUntilAllHaveIt() {
    reportState("engine-1", EngineRole.PREFILL, "1", Activity.SERVING);
    reportState("engine-2", EngineRole.DECODE, "1", Activity.SERVING);
    reportState("engine-3", EngineRole.DECODE, "1", Activity.SERVING);
    assertThat(rollout.next("", Set.of())).isEmpty();
    assertThat(rollout.next("2", Set.of())).contains(new EngineId("engine-2"));
    assertThat(rollout.next("2", Set.of(new EngineId("engine-2")))).isEmpty();
    reportState("engine-2", EngineRole.DECODE, "2", Activity.LOADING_MODEL);
    assertThat(rollout.next("2", Set.of())).isEmpty();
    reportState("engine-2", EngineRole.DECODE, "2", Activity.SERVING);
    assertThat(rollout.next("2", Set.of())).contains(new EngineId("engine-3"));
    reportState("engine-3", EngineRole.DECODE, "2", Activity.SERVING);
    assertThat(rollout.next("2", Set.of())).contains(new EngineId("engine-1"));
    reportState("engine-1", EngineRole.PREFILL, "2", Activity.SERVING);
    assertThat(rollout.next("2", Set.of())).isEmpty();
  }

  @Test
  void engineThatLeftThePoolNoLongerCounts() {
    reportState("engine-1", EngineRole.DECODE, "1", Activity.SERVING);
    rollout.onEngines(Set.of());
    assertThat(rollout.next("2", Set.of())).isEmpty();
  }
}
