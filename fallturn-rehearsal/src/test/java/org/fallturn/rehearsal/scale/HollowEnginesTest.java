package org.fallturn.rehearsal.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.Test;

class HollowEnginesTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final ModelName MODEL = new ModelName("m");

  @Test
  void enginesOfOneServerKeepFencesOfTheirOwn() throws Exception {
    HttpClient jetty = new HttpClient();
    jetty.start();
    JsonHttpClient client = new JsonHttpClient(jetty, new JsonCodec());
    try (HollowEngines engines = new HollowEngines()) {
      NetworkAddress first = engines.add("first", MODEL, EngineRole.PREFILL);
      NetworkAddress second = engines.add("second", MODEL, EngineRole.DECODE);
      assertThat(order(client, first, 2).accepted()).isTrue();
      assertThat(order(client, first, 1).accepted()).isFalse();
      assertThat(order(client, second, 1).accepted()).isTrue();
      assertThat(engines.refusedOrders()).isEqualTo(1);
      EngineState state =
          JsonHttpClient.await(client.get(second, "/v1/state", EngineState.class, TIMEOUT));
      assertThat(state.engine().value()).isEqualTo("second");
      assertThat(state.fence()).isEqualTo(new OrderNumber(new Epoch(1), 0));
    } finally {
      jetty.stop();
    }
  }

  private static OrderAnswer order(JsonHttpClient client, NetworkAddress engine, long epoch)
      throws Exception {
    EngineOrder order =
        new EngineOrder(
            new OrderNumber(new Epoch(epoch), 0),
            EngineOrder.ANY_INCARNATION,
            new EngineCommand.RaiseFence());
    return JsonHttpClient.await(
        client.post(engine, "/v1/orders", order, OrderAnswer.class, TIMEOUT));
  }
}
