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

/** Which engine loads the wanted version next. */
class VersionRolloutTest {

  private final VersionRollout rollout = new VersionRollout();

  private void tell(String engine, EngineRole role, String version, Activity activity) {
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
    tell("engine-1", EngineRole.PREFILL, "1", Activity.SERVING);
    tell("engine-2", EngineRole.DECODE, "1", Activity.SERVING);
    tell("engine-3", EngineRole.DECODE, "1", Activity.SERVING);
    assertThat(rollout.next("", Set.of())).isEmpty();
    assertThat(rollout.next("2", Set.of())).contains(new EngineId("engine-2"));
    assertThat(rollout.next("2", Set.of(new EngineId("engine-2")))).isEmpty();
    tell("engine-2", EngineRole.DECODE, "2", Activity.LOADING_MODEL);
    assertThat(rollout.next("2", Set.of())).isEmpty();
    tell("engine-2", EngineRole.DECODE, "2", Activity.SERVING);
    assertThat(rollout.next("2", Set.of())).contains(new EngineId("engine-3"));
    tell("engine-3", EngineRole.DECODE, "2", Activity.SERVING);
    assertThat(rollout.next("2", Set.of())).contains(new EngineId("engine-1"));
    tell("engine-1", EngineRole.PREFILL, "2", Activity.SERVING);
    assertThat(rollout.next("2", Set.of())).isEmpty();
  }

  @Test
  void engineThatLeftThePoolNoLongerCounts() {
    tell("engine-1", EngineRole.DECODE, "1", Activity.SERVING);
    rollout.onEngines(Set.of());
    assertThat(rollout.next("2", Set.of())).isEmpty();
  }
}
