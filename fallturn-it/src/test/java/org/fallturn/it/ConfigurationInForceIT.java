package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.fallturn.rehearsal.fleet.FleetNode;
import org.fallturn.rehearsal.fleet.FleetPlan;
import org.fallturn.rehearsal.platform.PlatformFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** An accepted configuration comes into force everywhere and never reverts. */
class ConfigurationInForceIT {

  private static final String CHANGE =
      "UPDATE tenants SET max_queued = %d WHERE tenant = 'address-desk'";

  @RegisterExtension static final FleetExtension FLEET = new FleetExtension(FleetPlan.small(3));

  private final Operator operator = new Operator();

  @Test
  void aNodeCutOffDuringAChangeCatchesUpAndNeverGoesBack() throws Exception {
    FleetNode first = FLEET.fleet().node("node-1");
    FleetNode cutOff = FLEET.fleet().node("node-3");
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicLong reverted = new AtomicLong();
    Thread watcher = new Thread(() -> watch(cutOff, stopped, reverted), "version-watcher");
    watcher.start();
    long before = operator.versionAt(first);
    FLEET.fleet().isolate(cutOff.id());

    Operator.Answer accepted = operator.state(first, CHANGE.formatted(500));

    assertThat(accepted.status()).as(accepted.toString()).isEqualTo(200);
    assertThat(accepted.version()).isEqualTo(before + 1);
    assertThat(operator.versionAt(cutOff)).isEqualTo(before);

    FLEET.fleet().proxy().heal();
    for (FleetNode node : FLEET.fleet().nodes().values()) {
      FleetExtension.eventually().until(() -> operator.versionAt(node) == accepted.version());
    }
    stopped.set(true);
    watcher.join();
    assertThat(reverted).hasValue(0);
  }

  @Test
  void aNodeThatStartsWhileTheStoreIsDownLearnsTheNewestVersionFromItsPeers() throws Exception {
    Operator.Answer accepted = operator.state(FLEET.fleet().node("node-1"), CHANGE.formatted(600));
    assertThat(accepted.status()).as(accepted.toString()).isEqualTo(200);
    FLEET.fleet().control().platformFaults(PlatformFaults.tableRefusing());

    FleetNode late = FLEET.fleet().addNode();

    FleetExtension.eventually().until(() -> operator.versionAt(late) == accepted.version());
  }

  private void watch(FleetNode node, AtomicBoolean stopped, AtomicLong reverted) {
    long highest = 0;
    while (!stopped.get()) {
      try {
        long version = operator.versionAt(node);
        if (version < highest) {
          reverted.incrementAndGet();
        }
        highest = Math.max(highest, version);
      } catch (Exception e) {
        reverted.incrementAndGet();
        return;
      }
    }
  }
}
