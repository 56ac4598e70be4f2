package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fallturn.node.duty.FaultDecision;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that keeps taking requests although one of its duties has ended, and
 * against one that cannot end because the shutdown itself fails, as when memory is used up. A fault
 * after which the duty goes on must only be counted.
 */
class FatalFaultHandlerTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Error FAULT = new NoClassDefFoundError("a/B");

  private final List<String> steps = new CopyOnWriteArrayList<>();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final GatewayState state = new GatewayState(null, new BodyMemory(0), Optional.empty());
  private boolean stopFails;

  private final FatalFaultHandler handler =
      new FatalFaultHandler(
          state,
          new DecisionLog(metrics),
          code -> steps.add("exit " + code),
          new FatalFaultHandler.ShutdownSteps() {
            @Override
            public void stopDuties() {
              steps.add("give up");
              if (stopFails) {
                throw new OutOfMemoryError("thrown by a test");
              }
            }

            @Override
            public void awaitAnswers() {
              steps.add("await answers");
            }
          });

  @Test
  void dutyThatGoesOnIsCountedAndTheNodeServes() {
    handler.onFault("peers", FAULT, new FaultDecision(true, 0));
    handler.onFault("peers", FAULT, new FaultDecision(true, 0));
    assertThat(metrics.text())
        .contains("fallturn_gateway_events_total{event=\"DUTY_FAILED\",detail=\"peers\"} 2");
    assertThat(state.takesRequests()).isTrue();
    assertThat(state.stopping()).isFalse();
    assertThat(steps).isEmpty();
  }

  @Test
  void dutyThatCannotGoOnEndsTheNodeOnce() {
    handler.onFault("dispatch", FAULT, FaultDecision.END);
    handler.onFault("dispatch", FAULT, FaultDecision.END);
    assertThat(state.takesRequests()).isFalse();
    assertThat(state.stopping()).isTrue();
    await().atMost(TIMEOUT).until(() -> steps.contains("exit 3"));
    assertThat(steps).containsExactly("give up", "await answers", "exit 3");
  }

  @Test
  void processEndsAtOnceWhenNothingElseCanBeDone() {
    stopFails = true;
    handler.onFault("usage", FAULT, FaultDecision.END);
    assertThat(steps).containsExactly("give up", "exit 3");
  }
}
