package org.fallturn.node.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Reads a table from another node, as a node does that the store rejects. Guards against sending
 * the whole table to a node that has nearly all of it: when the store rejects a third of 63 nodes,
 * and each asks up to four nodes after each failed call, that adds up to 0.77 GB between zones in a
 * day.
 */
class PeerSnapshotsTest {

  private static final String TABLE = "engines";
  private static final int ROWS = 60;

  private final org.eclipse.jetty.client.HttpClient client =
      new org.eclipse.jetty.client.HttpClient();
  private final List<NetworkAddress> peers = new ArrayList<>();
  private final PeerSnapshots asking = new PeerSnapshots(client, () -> peers, table -> at(0));
  private final PeerSnapshots serving = new PeerSnapshots(client, List::of, table -> at(0));
  private HttpListener listener;

  @BeforeEach
  void start() throws Exception {
    client.start();
    listener = new HttpListener("peers", new NetworkAddress("127.0.0.1", 0), 4, serving);
    peers.add(listener.address());
  }

  @AfterEach
  void stop() throws Exception {
    listener.close();
    client.stop();
  }

  private static FeedRow row(String key, long version) {
    return new FeedRow(key, at(version), "value of " + key + " at " + version, false);
  }

  private static List<FeedRow> rows(int count) {
    List<FeedRow> rows = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      rows.add(row("e-" + number, number));
    }
    return rows;
  }

  private static FeedTracker tracker(FeedAnswer whole) {
    FeedTracker tracker = new FeedTracker();
    tracker.onWhole(whole, 0);
    return tracker;
  }

  /** The serving node's table after three changes: a row added, one updated, one removed. */
  private static FeedAnswer changed() {
    List<FeedRow> rows = rows(ROWS);
    rows.remove(5);
    rows.set(0, row("e-1", ROWS + 1));
    rows.add(row("e-new", ROWS + 2));
    return new FeedAnswer(rows, at(ROWS + 3));
  }

  private String body(String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(java.net.URI.create("http://" + peers.get(0) + path)).build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  private static List<FeedRow> largeRows(int count) {
    String value = "x".repeat(64 * 1024);
    return IntStream.range(0, count)
        .mapToObj(number -> new FeedRow("large-" + number, at(number + 1), value, false))
        .toList();
  }

  /** Rows of other writers as large as the store takes them must not hide the rows of engines. */
  @Test
  void tableWithLargeRowsIsReadFromAnotherNode() {
    List<FeedRow> rows = new ArrayList<>(largeRows(100));
    rows.add(new FeedRow("e-1", at(101), "sound", false));
    serving.update(TABLE, tracker(new FeedAnswer(rows, at(101))));
    await()
        .ignoreExceptionsMatching(e -> e instanceof StoreException)
        .untilAsserted(
            () -> assertThat(asking.rows(TABLE).askAny().rows()).hasSameElementsAs(rows));
  }

  /** Keys of other writers may hold any character. */
  @Test
  void tableWithOddKeysIsReadFromAnotherNode() throws Exception {
    List<FeedRow> rows = new ArrayList<>(rows(2));
    for (String key : List.of("\ud800", "\udc00\ud800", "\u0000", " ", "a\nb", "\"}")) {
      rows.add(row(key, ROWS));
    }
    serving.update(TABLE, tracker(new FeedAnswer(rows, at(ROWS))));
    assertThat(asking.rows(TABLE).askAny().rows()).contains(row("e-1", 1), row("e-2", 2));
  }

  @Test
  void onlyChangesAfterTheNamedPositionAreSent() throws Exception {
    serving.update(TABLE, tracker(changed()));
    TableUpdate update =
        new JsonCodec()
            .decode(body("/tables/engines?after=" + ROWS).getBytes(UTF_8), TableUpdate.class);
    assertThat(update.rows())
        .extracting(TableUpdate.Row::key)
        .containsExactlyInAnyOrder("e-1", "e-new");
    assertThat(update.keys()).hasSize(ROWS);
  }

  @Test
  void changesAreAppliedToTheRequestersTable() throws Exception {
    serving.update(TABLE, tracker(changed()));
    asking.update(TABLE, tracker(new FeedAnswer(rows(ROWS), at(ROWS))));
    FeedAnswer received = asking.rows(TABLE).askAny();
    assertThat(received.position()).isEqualTo(at(ROWS + 3));
    assertThat(received.rows()).containsExactlyInAnyOrderElementsOf(changed().rows());
  }

  @Test
  void answerOfANodeThatIsBehindChangesNothing() throws Exception {
    serving.update(TABLE, tracker(new FeedAnswer(rows(3), at(3))));
    asking.update(TABLE, tracker(changed()));
    FeedAnswer received = asking.rows(TABLE).askAny();
    assertThat(received.position()).isEqualTo(at(ROWS + 3));
    assertThat(received.rows()).containsExactlyInAnyOrderElementsOf(changed().rows());
  }

  @Test
  void nodeWithoutTheTableReceivesItWhole() throws Exception {
    serving.update(TABLE, tracker(changed()));
    FeedAnswer received = asking.rows(TABLE).askAny();
    assertThat(received.rows()).containsExactlyInAnyOrderElementsOf(changed().rows());
  }

  /** A missing row that is older than the requester's position is not among the changes. */
  @Test
  void tableWithAGapIsReadWhole() throws Exception {
    serving.update(TABLE, tracker(changed()));
    asking.update(TABLE, tracker(new FeedAnswer(rows(ROWS - 2), at(ROWS))));
    FeedAnswer received = asking.rows(TABLE).askAny();
    assertThat(received.rows()).containsExactlyInAnyOrderElementsOf(changed().rows());
  }

  /**
   * Builds that know no positions answer every request with the whole table, without keys and era.
   */
  @Test
  void wholeTableOfAnEarlierBuildIsAccepted() throws Exception {
    String earlier =
        "{\"rows\":[{\"key\":\"e-7\",\"version\":9,\"value\":\"v\",\"gone\":false}],\"version\":12}";
    TableUpdate update = new JsonCodec().decode(earlier.getBytes(UTF_8), TableUpdate.class);
    FeedRow row = new FeedRow("e-7", StorePosition.NONE.atVersion(9), "v", false);
    assertThat(update.appliedTo(new FeedAnswer(rows(3), at(3))))
        .contains(new FeedAnswer(List.of(row), StorePosition.NONE.atVersion(12)));
  }

  /**
   * After the store was restored, versions of two eras do not follow each other: with only the
   * changes since its version the requester would keep rows that the store has lost.
   */
  @Test
  void requesterOfAnEarlierEraGetsTheWholeTable() throws Exception {
    asking.update(TABLE, tracker(changed()));
    FeedRow row = new FeedRow("e-1", new StorePosition(2, 5), "written again", false);
    FeedAnswer restored = new FeedAnswer(List.of(row), new StorePosition(2, 7));
    serving.update(TABLE, tracker(restored));
    assertThat(asking.rows(TABLE).askAny()).isEqualTo(restored);
  }

  @Test
  void answerOfAnEarlierEraIsNotNewer() throws Exception {
    FeedRow row = new FeedRow("e-1", new StorePosition(2, 5), "written again", false);
    FeedAnswer restored = new FeedAnswer(List.of(row), new StorePosition(2, 7));
    asking.update(TABLE, tracker(restored));
    serving.update(TABLE, tracker(changed()));
    assertThat(asking.rows(TABLE).askAny().position()).isLessThan(restored.position());
  }

  /** Builds that know no positions send none, and read rows and a version. */
  @Test
  void requestWithoutAPositionIsAnsweredWithTheWholeTable() throws Exception {
    serving.update(TABLE, tracker(changed()));
    for (String path : List.of("/tables/engines", "/tables/engines?after=soon")) {
      TableUpdate answer = new JsonCodec().decode(body(path).getBytes(UTF_8), TableUpdate.class);
      assertThat(answer.rows()).hasSize(ROWS);
    }
  }

  /**
   * Guards against all nodes fetching a large change over the slow link of the one that watches the
   * store: with a configuration of a thousand routes, the last node had it six seconds after the
   * first, later than any bound allows.
   */
  @Test
  void updateThatIsTooLargeForTheLinkOfANodeIsNotSent() throws Exception {
    FeedRow large = new FeedRow("e-1", at(ROWS + 1), "x".repeat(20_000), false);
    serving.update(TABLE, tracker(new FeedAnswer(List.of(large), at(ROWS + 1))));
    asking.update(TABLE, tracker(new FeedAnswer(rows(1), at(1))));
    assertThatThrownBy(() -> asking.rows(TABLE).ask(peers.get(0)))
        .isInstanceOf(TableTooLargeException.class);
    assertThat(asking.rows(TABLE).askAny().rows()).containsExactly(large);
  }

  /**
   * Every answer takes longer than the first timeout, as over a full link. The node asked one peer
   * after the other with the same timeout for twelve seconds and never got an answer.
   */
  @Test
  void nodeOnASlowLinkGetsAnAnswerInTheEnd() throws Exception {
    Handler slow =
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            TimeUnit.MILLISECONDS.sleep(600);
            return serving.handle(request, response, callback);
          }
        };
    serving.update(TABLE, tracker(changed()));
    try (HttpListener distant =
        new HttpListener("distant", new NetworkAddress("127.0.0.1", 0), 4, slow)) {
      await()
          .atMost(Duration.ofSeconds(20))
          .ignoreExceptionsInstanceOf(StoreException.class)
          .until(() -> asking.rows(TABLE).ask(distant.address()).position().equals(at(ROWS + 3)));
    }
  }
}
