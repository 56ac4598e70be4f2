package org.fallturn.node.application;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.MachineDrainRecord;
import org.fallturn.core.domain.BackEndId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.junit.jupiter.api.Test;

/** Which back end a request gets. */
class BackEndSelectorTest {

  private static final ServiceName SERVICE = new ServiceName("stock");
  private static final ZoneName NEAR = new ZoneName("lakua");
  private static final ZoneName FAR = new ZoneName("jundiz");

  private MachineList machines = new MachineList(1, List.of());
  private ConfigurationImage image = ConfigurationImage.EMPTY;
  private long nowNanos;
  private final BackEndSelector selector =
      new BackEndSelector(() -> machines, () -> image, NEAR, () -> nowNanos);

  private static Machine machine(String id, ZoneName zone, Machine.State state) {
    return new Machine(
        id,
        Machine.Kind.APPLICATION,
        new RegionName("alava"),
        zone,
        new NetworkAddress("127.0.0.1", 1),
        Optional.empty(),
        Optional.empty(),
        Optional.of(SERVICE),
        state);
  }

  private String choose(BackEndId... excluded) {
    return selector
        .acquire(SERVICE, Set.of(excluded))
        .map(backEnd -> backEnd.id().value())
        .orElse("none");
  }

  @Test
  void nearBackEndsShareTheWorkAndFarOnesWait() {
    machines =
        new MachineList(
            1,
            List.of(
                machine("a", NEAR, Machine.State.LIVE),
                machine("b", NEAR, Machine.State.LIVE),
                machine("c", FAR, Machine.State.LIVE)));
    assertThat(List.of(choose(), choose())).containsExactlyInAnyOrder("a", "b");
    assertThat(choose(new BackEndId("a"), new BackEndId("b"))).isEqualTo("c");
  }

  @Test
  void leavingAndDrainedBackEndsGetNothing() {
    machines =
        new MachineList(
            1,
            List.of(
                machine("a", NEAR, Machine.State.LEAVING), machine("b", NEAR, Machine.State.LIVE)));
    image =
        new ConfigurationImage(
            1,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("b", new MachineDrainRecord("b", "repair")),
            Map.of());
    assertThat(choose()).isEqualTo("none");
  }

  @Test
  void oneThatRefusedAConnectionIsPassedOverForAMoment() {
    machines =
        new MachineList(
            1,
            List.of(machine("a", NEAR, Machine.State.LIVE), machine("b", FAR, Machine.State.LIVE)));
    BackEnd near = selector.acquire(SERVICE, Set.of()).orElseThrow();
    selector.release(near);
    selector.avoid(near);
    assertThat(choose()).isEqualTo("b");
    assertThat(choose(new BackEndId("b"))).isEqualTo("a");
    nowNanos = Duration.ofSeconds(3).toNanos();
    assertThat(choose()).isEqualTo("a");
  }
}
