package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that goes on at a second engine while the first still works on it, or
 * that is called not run: a node that was to forward it fails with an answer that lacks its word,
 * which was taken for one that it had left the engine, or had not sent the request.
 */
class ForwardingResultTest {

  private static ForwardingResult result(String name) {
    return ForwardingResult.of(HttpFields.build().put(ForwardingHeaders.RESULT, name));
  }

  @Test
  void failureOfANodeDoesNotTellThatTheRunHasEnded() {
    assertThat(result("no result").failure()).contains(AttemptOutcome.LOST);
    assertThat(result("no result").tellsEnd()).isFalse();
  }

  @Test
  void resultTellsThatTheRunHasEnded() {
    assertThat(result("LOST").tellsEnd()).isTrue();
    assertThat(result("NOT_SENT").tellsEnd()).isTrue();
  }

  @Test
  void answerWithoutResultDoesNotTellThatNothingWasSent() {
    ForwardingResult none = ForwardingResult.of(HttpFields.EMPTY);
    assertThat(none.failure()).contains(AttemptOutcome.LOST);
    assertThat(none.tellsEnd()).isFalse();
  }
}
