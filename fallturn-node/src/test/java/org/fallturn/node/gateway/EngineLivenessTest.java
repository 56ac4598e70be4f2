package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpResponse;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an engine that counts as running since another start of it, under the same id,
 * answers at its address.
 */
class EngineLivenessTest {

  private static final byte[] NO_BODY = new byte[0];

  private static ServingEngine engine(OptionalLong bornMillis) {
    return new ServingEngine(
        "e-1",
        bornMillis,
        "app",
        "v1",
        new NetworkAddress("127.0.0.1", 1),
        "zone-1",
        8,
        false,
        Optional.empty(),
        false,
        EngineStage.NONE);
  }

  private static EngineLiveness of(int status, OptionalLong bornMillis) {
    Request request = new HttpClient().newRequest("127.0.0.1", 1);
    Result result = new Result(request, new HttpResponse(request).status(status));
    EngineProtocol protocol = OneEngineGateway.engines(headers -> headers);
    return EngineLiveness.of(engine(bornMillis), result, NO_BODY, protocol);
  }

  /** The report here does not say when the engine started, and no other answer does. */
  @ParameterizedTest
  @CsvSource({"200, RUNS, UNKNOWN", "503, RUNS, UNKNOWN", "404, RUNS, UNKNOWN", "421, GONE, GONE"})
  void answerThatDoesNotNameItsStartShowsNothingOfAnEngineThatDoes(
      int status, EngineLiveness ofOneWithoutStart, EngineLiveness ofOneWithStart) {
    assertThat(of(status, OptionalLong.empty())).isEqualTo(ofOneWithoutStart);
    assertThat(of(status, OptionalLong.of(7))).isEqualTo(ofOneWithStart);
  }
}
