package org.fallturn.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.port.feed.StorePosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request matching the wrong route when prefixes of one host overlap, and against
 * an older image replacing a newer one.
 */
class RoutingImageTest {

  private static Route route(String name, String host, String prefix) {
    Duration second = Duration.ofSeconds(1);
    return new Route(
        name,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        false,
        second,
        second,
        second,
        second,
        0,
        1,
        List.of(new WeightedService("s", 1)));
  }

  private static RoutingImage image(long revision, Route... routes) {
    return new RoutingImage(
        new StorePosition(1, revision), 1, List.of(routes), List.of(), RequestLimits.defaults());
  }

  @Test
  void longestPrefixOfTheHostWins() {
    RoutingImage image =
        image(
            1,
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"));
    assertThat(image.match("a.example", "/x/y/z/1").map(Route::name)).contains("long");
    assertThat(image.match("A.Example:8080", "/x/1").map(Route::name)).contains("short");
    assertThat(image.match("b.example", "/x/1")).isEmpty();
    assertThat(image.match("a.example", "/xy/1")).isEmpty();
  }

  @Test
  void storeRevisionOrdersImages() {
    assertThat(image(3).isNewerThan(image(2))).isTrue();
    assertThat(image(2).isNewerThan(image(2))).isFalse();
  }

  private static RoutingImage image(StorePosition position, long version) {
    return new RoutingImage(position, version, List.of(), List.of(), RequestLimits.defaults());
  }

  /** A store that was restored from a copy holds an older configuration for a while. */
  @Test
  void olderConfigurationOfARestoredStoreReplacesNothing() {
    RoutingImage inForce = image(new StorePosition(1, 500), 90);
    assertThat(image(new StorePosition(2, 450), 86).isNewerThan(inForce)).isFalse();
    RoutingImage writtenAgain = image(new StorePosition(2, 460), 90);
    assertThat(writtenAgain.isNewerThan(inForce)).isTrue();
    assertThat(image(new StorePosition(2, 470), 94).isNewerThan(writtenAgain)).isTrue();
    assertThat(inForce.isNewerThan(writtenAgain)).isFalse();
  }
}
