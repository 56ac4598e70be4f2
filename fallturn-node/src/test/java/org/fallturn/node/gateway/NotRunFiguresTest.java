package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.EndedSend;
import org.fallturn.core.error.ErrorKind;
import org.junit.jupiter.api.Test;

/** Guards against answers that say "not run" and do not show on what ground. */
class NotRunFiguresTest {

  private static final EndedSend REFUSED =
      new EndedSend("e-1", false, false, AttemptOutcome.NOT_EXECUTED);
  private static final EndedSend UNFORWARDED =
      new EndedSend("e-2", false, true, AttemptOutcome.NOT_SENT);

  private final GatewayMetrics metrics = new GatewayMetrics();

  @Test
  void eachSendOfARequestThatWasNotRunIsCountedByItsEvidence() {
    metrics.answered(ErrorKind.NO_CAPACITY, List.of(REFUSED, UNFORWARDED));
    metrics.answered(ErrorKind.NO_CAPACITY, List.of());
    assertThat(metrics.text())
        .contains("fallturn_gateway_not_run_total{evidence=\"ENGINE_REFUSED\"} 1\n")
        .contains("fallturn_gateway_not_run_total{evidence=\"NOT_FORWARDED\"} 1\n")
        .contains("fallturn_gateway_not_run_total{evidence=\"NO_SEND\"} 1\n");
  }

  @Test
  void answerThatSaysNothingOfTheRunIsNotCounted() {
    metrics.answered(ErrorKind.OUTCOME_UNKNOWN, List.of(REFUSED));
    assertThat(metrics.text()).doesNotContain("evidence=");
  }
}
