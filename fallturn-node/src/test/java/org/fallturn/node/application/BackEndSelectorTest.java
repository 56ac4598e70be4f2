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

/**
 * Guards against requests that go to a machine that is leaving or drained, to another zone without
 * need, or to a back end that has just refused a connection.
 */
class BackEndSelectorTest {

  private static final ServiceName SERVICE = new ServiceName("stock");
  private static final ZoneName OWN_ZONE = new ZoneName("lakua");
  private static final ZoneName OTHER_ZONE = new ZoneName("jundiz");

  private MachineList machines = new MachineList(1, List.of());
  private ConfigurationImage image = ConfigurationImage.EMPTY;
  private long nowNanos;
  private final BackEndSelector selector =
      new BackEndSelector(() -> machines, () -> image, OWN_ZONE, () -> nowNanos);

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

  private String select(BackEndId... excluded) {
    return selector
        .acquire(SERVICE, Set.of(excluded))
        .map(backEnd -> backEnd.id().value())
        .orElse("none");
  }

  @Test
  void backEndsOfTheOwnZoneShareTheLoadBeforeThoseOfOthers() {
    machines =
        new MachineList(
            1,
            List.of(
                machine("a", OWN_ZONE, Machine.State.LIVE),
                machine("b", OWN_ZONE, Machine.State.LIVE),
                machine("c", OTHER_ZONE, Machine.State.LIVE)));
    assertThat(List.of(select(), select())).containsExactlyInAnyOrder("a", "b");
    assertThat(select(new BackEndId("a"), new BackEndId("b"))).isEqualTo("c");
  }

  @Test
  void leavingAndDrainedBackEndsGetNoRequests() {
    machines =
        new MachineList(
            1,
            List.of(
                machine("a", OWN_ZONE, Machine.State.LEAVING),
                machine("b", OWN_ZONE, Machine.State.LIVE)));
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
    assertThat(select()).isEqualTo("none");
  }

  @Test
  void backEndThatRefusedAConnectionIsAvoidedForAWhile() {
    machines =
        new MachineList(
            1,
            List.of(
                machine("a", OWN_ZONE, Machine.State.LIVE),
                machine("b", OTHER_ZONE, Machine.State.LIVE)));
    BackEnd near = selector.acquire(SERVICE, Set.of()).orElseThrow();
    selector.release(near);
    selector.avoid(near);
    assertThat(select()).isEqualTo("b");
    assertThat(select(new BackEndId("b"))).isEqualTo("a");
    nowNanos = Duration.ofSeconds(3).toNanos();
    assertThat(select()).isEqualTo("a");
  }
}
