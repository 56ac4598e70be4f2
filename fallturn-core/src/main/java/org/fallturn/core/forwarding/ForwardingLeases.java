package org.fallturn.core.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The leases under which this node sends requests to engines for other nodes. A node that gives a
 * request up sends it to another engine next, and its word may not get through: the link between
 * the nodes may be silent. A request therefore goes on only while its node, asked again and again,
 * confirms that it still waits for the answer.
 *
 * <p>Invariant: a request is given up at the latest {@link #TERM} after the last question that its
 * node answered with a confirmation was asked, or after the request came. The time of the question
 * counts, not that of the answer, so that an answer which was under way for long prolongs nothing.
 * Not thread-safe. Times are nanoTime.
 */
public final class ForwardingLeases {

  /** How long a request goes on without a confirmation; a node that is busy answers within it. */
  public static final Duration TERM = Duration.ofSeconds(1);

  /** How often to ask for what is due and what has lapsed. */
  public static final Duration CHECK = Duration.ofMillis(50);

  /** Three questions may be lost within a term. */
  private static final long ASK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final Map<String, Lease> leases = new HashMap<>();
  private final Map<NetworkAddress, Long> askedNanos = new HashMap<>();

  private record Lease(NetworkAddress owner, long confirmedNanos) {}

  /**
   * A question to a node: which of these requests it still waits for.
   *
   * @param owner the node
   * @param keys keys of all its requests
   * @param askedNanos when it is asked
   */
  public record Question(NetworkAddress owner, Set<String> keys, long askedNanos) {

    /** Copies the keys. */
    public Question {
      keys = Set.copyOf(keys);
    }
  }

  /** A request of another node came. */
  public void begin(String key, NetworkAddress owner, long nowNanos) {
    leases.put(key, new Lease(owner, nowNanos));
  }

  /** A request ended. */
  public void end(String key) {
    leases.remove(key);
  }

  /** Whether there is no request. */
  public boolean isEmpty() {
    return leases.isEmpty();
  }

  /** The questions to ask now, one to each node that is due. */
  public List<Question> takeQuestions(long nowNanos) {
    Map<NetworkAddress, Set<String>> due = new HashMap<>();
    leases.forEach(
        (key, lease) -> {
          Long asked = askedNanos.get(lease.owner());
          if (asked == null || nowNanos - asked >= ASK_NANOS) {
            due.computeIfAbsent(lease.owner(), owner -> new TreeSet<>()).add(key);
          }
        });
    askedNanos.values().removeIf(asked -> nowNanos - asked >= ASK_NANOS);
    List<Question> questions = new ArrayList<>();
    due.forEach(
        (owner, keys) -> {
          askedNanos.put(owner, nowNanos);
          questions.add(new Question(owner, keys, nowNanos));
        });
    return questions;
  }

  /**
   * A node answered.
   *
   * @param confirmed keys of the requests that it still waits for
   * @return keys of those that it has given up
   */
  public List<String> onAnswer(Question question, Collection<String> confirmed) {
    List<String> givenUp = new ArrayList<>();
    for (String key : question.keys()) {
      Lease lease = leases.get(key);
      if (lease != null && !confirmed.contains(key)) {
        leases.remove(key);
        givenUp.add(key);
      } else if (lease != null && question.askedNanos() - lease.confirmedNanos() > 0) {
        leases.put(key, new Lease(lease.owner(), question.askedNanos()));
      }
    }
    return givenUp;
  }

  /** Removes and returns the keys of the requests whose lease is over. */
  public List<String> takeLapsed(long nowNanos) {
    List<String> lapsed = new ArrayList<>();
    leases.forEach(
        (key, lease) -> {
          if (nowNanos - lease.confirmedNanos() >= TERM.toNanos()) {
            lapsed.add(key);
          }
        });
    lapsed.forEach(leases::remove);
    return lapsed;
  }
}
