package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** What this node has at one engine. One thread calls. */
final class EngineLoad {

  private final EngineHealth health = new EngineHealth();
  private final PromptBacklog backlog = new PromptBacklog();
  private final List<RequestProgress> unread = new ArrayList<>();
  private final Set<RequestProgress> present = new LinkedHashSet<>();
  private int streams;
  private long cacheTokens;
  private long heardNanos;
  private boolean heard;
  private long answeredSentNanos;
  private boolean answered;

  EngineHealth health() {
    return health;
  }

  /** Requests that this node has there. */
  int running() {
    return present.size();
  }

  /** The request that has been there for longest. */
  Optional<RequestProgress> oldest() {
    return present.stream().findFirst();
  }

  /** Tokens of KV cache that they hold when they run. */
  long cacheTokens() {
    return cacheTokens;
  }

  /** Long answers among them that have begun. */
  int streams() {
    return streams;
  }

  /** The answer to a request begins. */
  void onBegan(RequestProgress progress) {
    promptRead(progress);
    if (progress.beginAnswer() && progress.longAnswer()) {
      streams++;
    }
  }

  /** Prompt tokens that this node has sent there to be read and that are not read yet. */
  PromptBacklog backlog() {
    return backlog;
  }

  /** A request goes there; its progress tells the tokens and the urgency it brings. */
  void add(RequestProgress progress) {
    present.add(progress);
    cacheTokens += progress.cacheTokens();
    if (progress.chargedTokens() > 0) {
      backlog.add(progress.level(), progress.chargedTokens());
      unread.add(progress);
    }
    health.onSent();
  }

  /** Any part of the answer to a request came. */
  void onSignOfLife(RequestProgress progress, long nowNanos) {
    heard = true;
    heardNanos = nowNanos;
    health.onSignOfLife();
    onAnswered(progress);
  }

  /** The engine takes a request: a part of its answer came, or its prompt was read. */
  void onAnswered(RequestProgress progress) {
    if (!answered || progress.sentNanos() - answeredSentNanos > 0) {
      answeredSentNanos = progress.sentNanos();
    }
    answered = true;
  }

  /** Whether a request that was sent since is there, and none of them has been answered. */
  boolean awaitsAnswerSince(long nanos) {
    if (answered && answeredSentNanos - nanos >= 0) {
      return false;
    }
    return present.stream().anyMatch(request -> request.sentNanos() - nanos >= 0);
  }

  /** Whether any part of an answer came within a time. */
  boolean heardWithin(long nanos, long nowNanos) {
    return heard && nowNanos - heardNanos < nanos;
  }

  /** When any part of an answer came last. */
  OptionalLong heardNanos() {
    return heard ? OptionalLong.of(heardNanos) : OptionalLong.empty();
  }

  /** The last sign of life to this node or another, or the beginning where none came since. */
  long lastSignOfLifeNanos(long beginNanos, OptionalLong peersHeardNanos) {
    return later(later(beginNanos, heardNanos()), peersHeardNanos);
  }

  private static long later(long nanos, OptionalLong other) {
    return other.isPresent() && other.getAsLong() - nanos > 0 ? other.getAsLong() : nanos;
  }

  /** The prompt of a request was read, ahead of those sent before that are no less urgent. */
  void promptRead(RequestProgress read) {
    forgetPrompt(read);
    for (RequestProgress other : unread) {
      if (other.sentNanos() - read.sentNanos() < 0 && other.level() <= read.level()) {
        other.onOvertaken();
      }
    }
  }

  /** The request is no longer there. */
  void remove(RequestProgress progress) {
    if (present.remove(progress)) {
      cacheTokens -= progress.cacheTokens();
    }
    if (progress.begun() && progress.longAnswer()) {
      streams--;
    }
    forgetPrompt(progress);
  }

  private void forgetPrompt(RequestProgress progress) {
    if (unread.remove(progress)) {
      backlog.add(progress.level(), -progress.chargedTokens());
    }
  }

  boolean idle() {
    return present.isEmpty();
  }
}
