package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.http.AnswerMemory;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Serves this node's copies of the followed tables to other nodes, and reads theirs. A node needs
 * them when it cannot reach the store, because it has just started or because the store rejects its
 * requests. Every copy carries the position in the store's history that it reflects, so that an
 * older copy never replaces a newer one. Thread-safe.
 */
final class PeerSnapshots extends Handler.Abstract.NonBlocking {

  private static final String PATH_PREFIX = "/tables/";

  /** Query parameter: the version that the requester has; only later changes are sent. */
  private static final String AFTER_PARAMETER = "after=";

  /**
   * Request header: the era of the store to which that version belongs. A requester of another era
   * gets the whole table; one of a build that sends no era gets the changes.
   */
  private static final String ERA_HEADER = "Fallturn-Store-Era";

  /** Request header: largest answer in bytes that the requester accepts; older builds ignore it. */
  private static final String MAX_BYTES_HEADER = "Fallturn-Most-Bytes";

  /**
   * Above this size in bytes, a node that can use the store reads from it instead. The store has a
   * far faster link than a node, whose link all requesters would share to fetch the same rows.
   * Traffic between zones is charged for, and above this size it costs more than a call to the
   * store.
   */
  private static final int MAX_UPDATE_BYTES = 16 * 1024;

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

  /**
   * How often the timeout doubles at most, once for each call in a row without an answer. A node
   * whose link is full gets no answer within the first timeout, whomever it asks.
   */
  private static final int MAX_DOUBLINGS = 2;

  /**
   * How many peers a read asks at most. The store may reject a third of the nodes at once; four
   * peers are rarely all among them.
   */
  private static final int PEERS_PER_READ = 4;

  private final Map<String, FeedAnswer> ownTables = new ConcurrentHashMap<>();
  private final Map<String, Reply> lastReplies = new ConcurrentHashMap<>();
  private final JsonCodec codec = new JsonCodec();
  private final HttpClient client;
  private final Supplier<List<NetworkAddress>> peers;
  private final Function<String, StorePosition> newestChange;
  private final AtomicInteger nextPeerIndex = new AtomicInteger();
  private final AtomicInteger unansweredInRow = new AtomicInteger();

  /** The answer to the last request for a table, reused for equal requests. */
  private record Reply(
      FeedAnswer table, RequesterCopy copy, TableUpdate update, Lazy<byte[]> bytes) {}

  /**
   * What a requester says that it has.
   *
   * @param query the query of the request; null for none
   * @param era the era that the request names; empty for none
   */
  private record RequesterCopy(String query, OptionalLong era) {

    static RequesterCopy of(Request request) {
      long era = request.getHeaders().getLongField(ERA_HEADER);
      return new RequesterCopy(
          request.getHttpURI().getQuery(), era < 0 ? OptionalLong.empty() : OptionalLong.of(era));
    }

    boolean isOfEra(long other) {
      return era.isEmpty() || era.getAsLong() == other;
    }
  }

  /** A value that is computed on first use: an update that is too large need not be encoded. */
  private static final class Lazy<T> {
    private final Supplier<T> maker;
    private T value;

    Lazy(Supplier<T> maker) {
      this.maker = maker;
    }

    synchronized T get() {
      if (value == null) {
        value = maker.get();
      }
      return value;
    }
  }

  /**
   * Creates a handler that holds no tables yet.
   *
   * @param client sends the requests to other nodes
   * @param peers addresses of the other nodes that may be asked
   * @param newestChange returns the newest change of a table, by name, that any node has seen
   */
  PeerSnapshots(
      HttpClient client,
      Supplier<List<NetworkAddress>> peers,
      Function<String, StorePosition> newestChange) {
    this.client = client;
    this.peers = peers;
    this.newestChange = newestChange;
  }

  private TableUpdate call(NetworkAddress peer, String path, long era, int maxBytes)
      throws StoreException {
    org.eclipse.jetty.client.Request request =
        client
            .newRequest(peer.host(), peer.port())
            .path(path)
            .headers(
                headers ->
                    headers
                        .put(MAX_BYTES_HEADER, Integer.toString(maxBytes))
                        .put(ERA_HEADER, Long.toString(era)))
            .timeout(timeout().toMillis(), TimeUnit.MILLISECONDS);
    try {
      ContentResponse response =
          new CompletableResponseListener(request, AnswerMemory.maxBytes()).send().get();
      unansweredInRow.set(0);
      if (response.getStatus() == HttpStatus.PAYLOAD_TOO_LARGE_413) {
        throw new TableTooLargeException(peer + " has too large an update of " + path);
      }
      if (response.getStatus() != HttpStatus.OK_200) {
        throw new StoreException(peer + " does not know " + path, false, null);
      }
      return codec.decode(response.getContent(), TableUpdate.class);
    } catch (InterruptedException e) {
      request.abort(e);
      Thread.currentThread().interrupt();
      throw new StoreException("interrupted", false, e);
    } catch (ExecutionException | MalformedMessageException e) {
      unansweredInRow.incrementAndGet();
      throw new StoreException("no answer from " + peer, false, e);
    }
  }

  private Duration timeout() {
    return CALL_TIMEOUT.multipliedBy(1L << Math.min(unansweredInRow.get(), MAX_DOUBLINGS));
  }

  /** Stores this node's current copy of a table, which other nodes may read from now on. */
  void update(String table, FeedTracker tracker) {
    ownTables.put(table, new FeedAnswer(tracker.storedRows(), tracker.position()));
  }

  /** Returns a reader of the table that asks other nodes. */
  PeerRows rows(String table) {
    return new PeerTable(table);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    FeedAnswer answer =
        path.startsWith(PATH_PREFIX) ? ownTables.get(path.substring(PATH_PREFIX.length())) : null;
    if (answer == null) {
      response.setStatus(HttpStatus.NOT_FOUND_404);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
    Reply reply = replyTo(path, RequesterCopy.of(request), answer);
    long most = request.getHeaders().getLongField(MAX_BYTES_HEADER);
    if (most >= 0 && reply.update().minBytes() > most) {
      response.setStatus(HttpStatus.PAYLOAD_TOO_LARGE_413);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
    response.write(true, ByteBuffer.wrap(reply.bytes().get()), callback);
    return true;
  }

  /**
   * Returns the answer to a request. The last answer is cached, since all nodes that learn of a
   * change at the same moment send the same request.
   */
  private Reply replyTo(String path, RequesterCopy copy, FeedAnswer table) {
    Reply last = lastReplies.get(path);
    if (last != null && last.table() == table && last.copy().equals(copy)) {
      return last;
    }
    TableUpdate update = updateFor(copy, table);
    Reply reply = new Reply(table, copy, update, new Lazy<>(() -> codec.encode(update)));
    lastReplies.put(path, reply);
    return reply;
  }

  /**
   * Returns the changes since the position that the requester has; the whole table when it names
   * none, one that is not a number, or one of another era.
   */
  private static TableUpdate updateFor(RequesterCopy copy, FeedAnswer table) {
    String query = copy.query();
    boolean named = query != null && query.startsWith(AFTER_PARAMETER);
    if (!named || !copy.isOfEra(table.position().era())) {
      return TableUpdate.whole(table);
    }
    try {
      return TableUpdate.since(Long.parseLong(query.substring(AFTER_PARAMETER.length())), table);
    } catch (NumberFormatException e) {
      return TableUpdate.whole(table);
    }
  }

  /**
   * Reads one table from the peers in turn until one knows its newest change, since the store may
   * reject some of the peers as well. Of the answers, the newest counts.
   */
  private final class PeerTable implements PeerRows {

    private final String table;

    PeerTable(String table) {
      this.table = table;
    }

    @Override
    public FeedAnswer askAny() throws StoreException {
      StoreException last = new StoreException("no other node is known", false, null);
      FeedAnswer newest = null;
      for (NetworkAddress peer : nextPeers()) {
        try {
          FeedAnswer answer = ask(peer, Integer.MAX_VALUE);
          newest = newest == null || answer.position().isAfter(newest.position()) ? answer : newest;
          if (!newestChange.apply(table).isAfter(answer.position())) {
            break;
          }
        } catch (StoreException e) {
          last = e;
        }
      }
      if (newest == null) {
        throw last;
      }
      return newest;
    }

    @Override
    public FeedAnswer ask(NetworkAddress peer) throws StoreException {
      return ask(peer, MAX_UPDATE_BYTES);
    }

    /**
     * Requests only the changes since this node's copy, which mostly has nearly all rows. Requests
     * the whole table when there is no copy, or when the copy lacks rows that the changes rely on.
     */
    private FeedAnswer ask(NetworkAddress peer, int maxBytes) throws StoreException {
      FeedAnswer own = ownTables.get(table);
      if (own == null) {
        return whole(peer, maxBytes);
      }
      String path = PATH_PREFIX + table + "?" + AFTER_PARAMETER + own.position().version();
      Optional<FeedAnswer> applied =
          call(peer, path, own.position().era(), maxBytes).appliedTo(own);
      return applied.isPresent() ? applied.get() : whole(peer, maxBytes);
    }

    private FeedAnswer whole(NetworkAddress peer, int maxBytes) throws StoreException {
      return call(peer, PATH_PREFIX + table, StorePosition.NONE.era(), maxBytes).asWholeTable();
    }

    private List<NetworkAddress> nextPeers() {
      List<NetworkAddress> all = peers.get();
      List<NetworkAddress> next = new ArrayList<>();
      int first = nextPeerIndex.getAndAdd(PEERS_PER_READ);
      for (int step = 0; step < Math.min(PEERS_PER_READ, all.size()); step++) {
        next.add(all.get(Math.floorMod(first + step, all.size())));
      }
      return next;
    }
  }
}
