package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that goes on at a second engine while the first still works on it: a
 * node that was to forward it fails with an answer of its HTTP server, which was taken for its word
 * that it had left the engine.
 */
class ForwardingResultTest {

  private static ForwardingResult result(int status, String name) {
    HttpFields headers =
        name.isEmpty() ? HttpFields.EMPTY : HttpFields.build().put(ForwardingHeaders.RESULT, name);
    return ForwardingResult.of(status, headers);
  }

  @Test
  void failureOfANodeDoesNotTellThatTheRunHasEnded() {
    ForwardingResult failed = result(HttpStatus.INTERNAL_SERVER_ERROR_500, "");
    assertThat(failed.failure()).contains(AttemptOutcome.LOST);
    assertThat(failed.tellsEnd()).isFalse();
    assertThat(result(HttpStatus.BAD_GATEWAY_502, "no result").tellsEnd()).isFalse();
  }

  @Test
  void resultTellsThatTheRunHasEnded() {
    assertThat(result(HttpStatus.BAD_GATEWAY_502, "LOST").tellsEnd()).isTrue();
    assertThat(result(HttpStatus.BAD_GATEWAY_502, "NOT_SENT").tellsEnd()).isTrue();
    assertThat(result(HttpStatus.NOT_FOUND_404, "").tellsEnd()).isTrue();
  }
}
