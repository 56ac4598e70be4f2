package org.fallturn.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.util.Promise;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LiteralAddressResolverTest {

  private final List<String> lookedUp = new ArrayList<>();
  private final List<InetSocketAddress> resolved = new ArrayList<>();
  private final LiteralAddressResolver resolver =
      new LiteralAddressResolver((host, port, context, promise) -> lookedUp.add(host));

  private void resolve(String host) {
    resolver.resolve(host, 8062, Map.of(), Promise.from(resolved::addAll, failure -> {}));
  }

  @Test
  void addressesAreResolvedAtOnceAndLookedUpNowhere() {
    resolve("10.3.64.255");
    assertThat(resolved).containsExactly(new InetSocketAddress("10.3.64.255", 8062));
    assertThat(lookedUp).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"localhost", "e.example", "1.2.3", "1.2.3.256", "1.2.3.4.5", "1..3.4", "::1"})
  void whateverElseIsLookedUp(String host) {
    resolve(host);
    assertThat(resolved).isEmpty();
    assertThat(lookedUp).containsExactly(host);
  }
}
