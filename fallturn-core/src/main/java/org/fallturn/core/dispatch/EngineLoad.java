package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The requests that this node has at one engine, with its view of the engine's health. Confined to
 * one thread.
 */
final class EngineLoad {

  private final EngineHealth health = new EngineHealth();
  private final PromptBacklog backlog = new PromptBacklog();
  private final List<RequestProgress> unread = new ArrayList<>();
  private final Set<RequestProgress> present = new LinkedHashSet<>();
  private int streams;
  private long cacheTokens;
  private long heardNanos;
  private boolean everHeard;
  private long answeredSentNanos;
  private boolean everAnswered;

  EngineHealth health() {
    return health;
  }

  /** Returns how many requests this node has at the engine. */
  int running() {
    return present.size();
  }

  /** Returns the request that has been at the engine for longest. */
  Optional<RequestProgress> oldest() {
    return present.stream().findFirst();
  }

  /** Returns the tokens of KV cache that these requests hold when they run. */
  long cacheTokens() {
    return cacheTokens;
  }

  /** Returns how many long answers have begun. */
  int streams() {
    return streams;
  }

  /** Records that the answer to a request begins. */
  void onBegan(RequestProgress progress) {
    promptRead(progress);
    if (progress.beginAnswer() && progress.longAnswer()) {
      streams++;
    }
  }

  /**
   * Returns the prompt tokens that this node has sent to the engine and that it has not read yet.
   */
  PromptBacklog backlog() {
    return backlog;
  }

  /** Returns the length in tokens of the longest prompt among those; 0 if there is none. */
  long longestUnread() {
    return unread.stream().mapToLong(RequestProgress::chargedTokens).max().orElse(0);
  }

  /**
   * Adds a request that is sent to the engine. Its progress holds its prompt tokens and its urgency
   * level.
   */
  void add(RequestProgress progress) {
    present.add(progress);
    cacheTokens += progress.cacheTokens();
    if (progress.chargedTokens() > 0) {
      backlog.add(progress.level(), progress.chargedTokens());
      unread.add(progress);
    }
    health.onSent();
  }

  /** Records a sign of life: some part of the answer to a request arrived. */
  void onSignOfLife(RequestProgress progress, long nowNanos) {
    everHeard = true;
    heardNanos = nowNanos;
    if (progress.forwarder().isEmpty()) {
      health.onSignOfLife();
    } else {
      health.onForwardedSignOfLife();
    }
    onAnswered(progress);
  }

  /** Records that a request was answered with success, and by which way. */
  void onSuccess(RequestProgress progress, long nowNanos) {
    if (progress.forwarder().isEmpty()) {
      health.onSuccess(nowNanos);
    } else {
      health.onForwardedSuccess(nowNanos);
    }
  }

  /**
   * Records that the engine has taken a request: a part of its answer arrived, or its prompt was
   * read.
   */
  void onAnswered(RequestProgress progress) {
    if (!everAnswered || progress.sentNanos() - answeredSentNanos > 0) {
      answeredSentNanos = progress.sentNanos();
    }
    everAnswered = true;
  }

  /**
   * Returns whether a request that was sent at or after a time is at the engine and the engine has
   * answered no request that was sent since then.
   */
  boolean awaitsAnswerSince(long nanos) {
    if (everAnswered && answeredSentNanos - nanos >= 0) {
      return false;
    }
    return present.stream().anyMatch(request -> request.sentNanos() - nanos >= 0);
  }

  /** Returns whether a sign of life arrived within the last {@code nanos}. */
  boolean heardWithin(long nanos, long nowNanos) {
    return everHeard && nowNanos - heardNanos < nanos;
  }

  /** Returns when the last sign of life arrived. */
  OptionalLong heardNanos() {
    return everHeard ? OptionalLong.of(heardNanos) : OptionalLong.empty();
  }

  /**
   * Returns the time of the last sign of life that this node or another one received, or {@code
   * beginNanos} if none came since then.
   *
   * @param beginNanos earliest time to return
   * @param peersHeardNanos time of the last sign of life that another node received
   */
  long lastSignOfLifeNanos(long beginNanos, OptionalLong peersHeardNanos) {
    return later(later(beginNanos, heardNanos()), peersHeardNanos);
  }

  private static long later(long nanos, OptionalLong other) {
    return other.isPresent() && other.getAsLong() - nanos > 0 ? other.getAsLong() : nanos;
  }

  /**
   * Records that the engine has read the prompt of a request. That request has overtaken the
   * requests that were sent before it, are at least as urgent and still wait to be read.
   */
  void promptRead(RequestProgress read) {
    removeFromBacklog(read);
    for (RequestProgress other : unread) {
      if (other.sentNanos() - read.sentNanos() < 0 && other.level() <= read.level()) {
        other.onOvertaken();
      }
    }
  }

  /** Removes a request that is no longer at the engine. */
  void remove(RequestProgress progress) {
    if (present.remove(progress)) {
      cacheTokens -= progress.cacheTokens();
    }
    if (progress.begun() && progress.longAnswer()) {
      streams--;
    }
    removeFromBacklog(progress);
  }

  private void removeFromBacklog(RequestProgress progress) {
    if (unread.remove(progress)) {
      backlog.add(progress.level(), -progress.chargedTokens());
    }
  }

  boolean idle() {
    return present.isEmpty();
  }
}
