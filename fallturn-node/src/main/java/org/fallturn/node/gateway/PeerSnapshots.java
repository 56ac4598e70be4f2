package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
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
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * What the nodes can tell a process that cannot reach the store, because it has just started or is
 * turned away: the followed tables. A reading of a table bears the position of the store's history
 * that it holds at, so it can never put back what is known. Thread-safe.
 */
final class PeerSnapshots extends Handler.Abstract.NonBlocking {

  private static final String PATH_PREFIX = "/tables/";

  /** Names the position that the asker knows, so that only what is newer is told. */
  private static final String AFTER = "after=";

  /** Names how long an answer the asker wants at the most; builds of before pass it over. */
  private static final String MOST_BYTES = "Fallturn-Most-Bytes";

  /**
   * The store has a far better link than a node, over which all that ask would draw the same rows,
   * and bytes between zones have a price, above so many a higher one than a call to the store.
   */
  private static final int MOST_BYTES_OF_NEWS = 16 * 1024;

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

  /** Of a third of the nodes that a store may turn away at once, rarely all of four are asked. */
  private static final int PEERS_A_READING = 4;

  private final Map<String, FeedAnswer> known = new ConcurrentHashMap<>();
  private final Map<String, Encoded> lastEncoded = new ConcurrentHashMap<>();
  private final JsonCodec codec = new JsonCodec();
  private final HttpClient client;
  private final Supplier<List<NetworkAddress>> peers;
  private final ToLongFunction<String> newestChange;
  private final AtomicInteger turn = new AtomicInteger();

  /** What was answered to a question about a table. */
  private record Encoded(FeedAnswer table, String query, TableUpdate news, Lazy<byte[]> bytes) {}

  /** A value that is made when it is first asked for, since what is too large is never sent. */
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
   * Snapshots of this node, and a way to those of others.
   *
   * @param peers where the other nodes answer
   * @param newestChange the newest change of a table that any node has seen
   */
  PeerSnapshots(
      HttpClient client,
      Supplier<List<NetworkAddress>> peers,
      ToLongFunction<String> newestChange) {
    this.client = client;
    this.peers = peers;
    this.newestChange = newestChange;
  }

  private TableUpdate call(NetworkAddress peer, String path, int mostBytes) throws StoreException {
    try {
      ContentResponse response =
          client
              .newRequest(peer.host(), peer.port())
              .path(path)
              .headers(headers -> headers.put(MOST_BYTES, Integer.toString(mostBytes)))
              .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
              .send();
      if (response.getStatus() == HttpStatus.PAYLOAD_TOO_LARGE_413) {
        throw new TableTooLargeException(peer + " has more to tell of " + path);
      }
      if (response.getStatus() != HttpStatus.OK_200) {
        throw new StoreException(peer + " does not know " + path, false, null);
      }
      return codec.decode(response.getContent(), TableUpdate.class);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StoreException("interrupted", false, e);
    } catch (TimeoutException | ExecutionException | MalformedMessageException e) {
      throw new StoreException("no answer from " + peer, false, e);
    }
  }

  /** Remembers what this node knows of a table. */
  void update(String table, FeedTracker tracker) {
    known.put(table, new FeedAnswer(List.copyOf(tracker.rows()), tracker.position()));
  }

  /** A table as some other node knows it. */
  PeerRows rows(String table) {
    return new Table(table);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    FeedAnswer answer =
        path.startsWith(PATH_PREFIX) ? known.get(path.substring(PATH_PREFIX.length())) : null;
    if (answer == null) {
      response.setStatus(HttpStatus.NOT_FOUND_404);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
    Encoded news = encoded(path, request.getHttpURI().getQuery(), answer);
    long most = request.getHeaders().getLongField(MOST_BYTES);
    if (most >= 0 && news.news().leastBytes() > most) {
      response.setStatus(HttpStatus.PAYLOAD_TOO_LARGE_413);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
    response.write(true, ByteBuffer.wrap(news.bytes().get()), callback);
    return true;
  }

  /** Nodes that were told of a change at the same moment ask for the same. */
  private Encoded encoded(String path, String query, FeedAnswer table) {
    Encoded last = lastEncoded.get(path);
    if (last != null && last.table() == table && Objects.equals(last.query(), query)) {
      return last;
    }
    TableUpdate news = news(query, table);
    Encoded encoded = new Encoded(table, query, news, new Lazy<>(() -> codec.encode(news)));
    lastEncoded.put(path, encoded);
    return encoded;
  }

  /** A position that is no number is none that anybody knows. */
  private static TableUpdate news(String query, FeedAnswer table) {
    if (query == null || !query.startsWith(AFTER)) {
      return TableUpdate.whole(table);
    }
    try {
      return TableUpdate.since(Long.parseLong(query.substring(AFTER.length())), table);
    } catch (NumberFormatException e) {
      return TableUpdate.whole(table);
    }
  }

  /**
   * Reads one table from the peers in turn, until one knows its newest change: the next peer may be
   * turned away by the store as well. Of those asked, the newest reading counts.
   */
  private final class Table implements PeerRows {

    private final String table;

    Table(String table) {
      this.table = table;
    }

    @Override
    public FeedAnswer askAny() throws StoreException {
      StoreException last = new StoreException("no other node is known", false, null);
      FeedAnswer newest = null;
      for (NetworkAddress peer : nextPeers()) {
        try {
          FeedAnswer answer = ask(peer, Integer.MAX_VALUE);
          newest = newest == null || answer.version() > newest.version() ? answer : newest;
          if (answer.version() >= newestChange.applyAsLong(table)) {
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
      return ask(peer, MOST_BYTES_OF_NEWS);
    }

    /** Nodes mostly ask for what they know, so that only what is newer should be told. */
    private FeedAnswer ask(NetworkAddress peer, int mostBytes) throws StoreException {
      FeedAnswer own = known.get(table);
      if (own == null) {
        return whole(peer, mostBytes);
      }
      String path = PATH_PREFIX + table + "?" + AFTER + own.version();
      Optional<FeedAnswer> applied = call(peer, path, mostBytes).appliedTo(own);
      return applied.isPresent() ? applied.get() : whole(peer, mostBytes);
    }

    private FeedAnswer whole(NetworkAddress peer, int mostBytes) throws StoreException {
      TableUpdate news = call(peer, PATH_PREFIX + table, mostBytes);
      return new FeedAnswer(news.rows(), news.version());
    }

    private List<NetworkAddress> nextPeers() {
      List<NetworkAddress> known = peers.get();
      List<NetworkAddress> next = new ArrayList<>();
      int first = turn.getAndAdd(PEERS_A_READING);
      for (int step = 0; step < Math.min(PEERS_A_READING, known.size()); step++) {
        next.add(known.get(Math.floorMod(first + step, known.size())));
      }
      return next;
    }
  }
}
