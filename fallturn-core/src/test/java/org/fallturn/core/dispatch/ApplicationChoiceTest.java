package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.APPLICATION;
import static org.fallturn.core.dispatch.Requests.START;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.ServingEngine;
import org.junit.jupiter.api.Test;

/** Where application requests go. */
class ApplicationChoiceTest {

  private static final int NODES = 600;

  private final ServingEngine one = Requests.engine("a-1", APPLICATION, EngineStage.NONE);
  private final ServingEngine two = Requests.engine("a-2", APPLICATION, EngineStage.NONE);
  private final ServingEngine three = Requests.engine("a-3", APPLICATION, EngineStage.NONE);

  private static EngineDigest running(int requests) {
    return new EngineDigest(requests, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD);
  }

  /** Engines had 15 to 45 requests more than others at once, since all nodes took the emptiest. */
  @Test
  void nodesThatHeardTheSameDoNotAllTakeTheSameEngine() {
    Map<String, EngineDigest> heard =
        Map.of("a-1", running(18), "a-2", running(20), "a-3", running(24));
    Map<String, Integer> chosen = new HashMap<>();
    for (int node = 0; node < NODES; node++) {
      Dispatcher dispatcher = Requests.dispatcher(one, two, three);
      Requests.receive(dispatcher, new LoadDigest("n-2", 1, 1, heard, List.of(), Map.of()), START);
      Decision.Run run =
          (Decision.Run)
              dispatcher.start(Requests.application(RequestKind.IDEMPOTENT, 1), START + 1);
      chosen.merge(run.engine().id(), 1, Integer::sum);
    }
    assertThat(chosen.values()).as("of each engine: %s", chosen).allMatch(n -> n < NODES / 2);
    assertThat(chosen.get("a-1")).isGreaterThan(chosen.get("a-3"));
  }

  @Test
  void loneNodeTakesTheEmptiest() {
    Dispatcher dispatcher = Requests.dispatcher(one, two, three);
    for (int request = 0; request < 30; request++) {
      dispatcher.start(Requests.application(RequestKind.IDEMPOTENT, 1), START);
    }
    assertThat(dispatcher.fleet().ownLoads(START).values())
        .allMatch(digest -> digest.running() == 10);
  }
}
