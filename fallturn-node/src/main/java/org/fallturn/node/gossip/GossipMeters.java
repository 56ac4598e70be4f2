package org.fallturn.node.gossip;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.fallturn.core.membership.Member;

/** Shows a node's gossip as meters. Called once, when the module exists. */
public final class GossipMeters {

  private static final String STATE = "state";

  private GossipMeters() {}

  /** Adds the meters. */
  public static void register(MeterRegistry registry, GossipModule gossip) {
    counter(registry, gossip, "bytes.sent", traffic -> traffic.sent().bytesSent());
    counter(registry, gossip, "bytes.received", GossipTraffic::bytesReceived);
    counter(registry, gossip, "over.budget", traffic -> traffic.sent().messagesOverBudget());
    counter(registry, gossip, "suspicions", traffic -> traffic.sent().suspicions());
    counter(registry, gossip, "deaths", traffic -> traffic.sent().deaths());
    counter(registry, gossip, "refutations", traffic -> traffic.sent().refutations());
    counter(registry, gossip, "malformed", GossipTraffic::malformed);
    counter(registry, gossip, "not.authentic", GossipTraffic::notAuthentic);
    counter(registry, gossip, "replayed", GossipTraffic::replayed);
    counter(registry, gossip, "overrun", GossipTraffic::overrun);
    for (Member.State state : Member.State.values()) {
      Gauge.builder("fallturn.members", gossip, module -> count(module, state))
          .tag(STATE, state.name())
          .register(registry);
    }
  }

  private static void counter(
      MeterRegistry registry,
      GossipModule gossip,
      String name,
      ToDoubleFunction<GossipTraffic> figure) {
    FunctionCounter.builder(
            "fallturn.gossip." + name, gossip, module -> figure.applyAsDouble(module.traffic()))
        .register(registry);
  }

  private static double count(GossipModule gossip, Member.State state) {
    return gossip.view().members().values().stream()
        .filter(member -> member.state() == state)
        .count();
  }
}
