package org.fallturn.node.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.ImageProgress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The image in force on this node. Its version only rises: a change is applied only when it is the
 * next one, an image only when it is newer. Any thread may read; only the distribution duty
 * applies.
 */
final class AppliedConfiguration {

  /** How many changes are kept for peers that are behind; those further behind get the image. */
  static final int KEPT_DELTAS = 64;

  private static final Logger LOG = LoggerFactory.getLogger(AppliedConfiguration.class);

  private final Deque<ConfigurationDelta> kept = new ArrayDeque<>();
  private final List<Consumer<ConfigurationImage>> listeners = new CopyOnWriteArrayList<>();
  private volatile ConfigurationImage image = ConfigurationImage.EMPTY;
  private volatile boolean loaded;

  ConfigurationImage image() {
    return image;
  }

  /** Whether the node has learned the accepted configuration since it started. */
  boolean isLoaded() {
    return loaded;
  }

  void markLoaded() {
    loaded = true;
  }

  void addListener(Consumer<ConfigurationImage> listener) {
    listeners.add(listener);
  }

  /** Applies each change that is the next one, in order; true when the version rose. */
  boolean apply(List<ConfigurationDelta> deltas) {
    ConfigurationImage before = image;
    ConfigurationImage next = ImageProgress.afterChanges(before, deltas);
    deltas.stream()
        .filter(delta -> delta.version() > before.version())
        .filter(delta -> delta.version() <= next.version())
        .forEach(this::keep);
    return publish(before, next);
  }

  /** Takes over a whole image when it is newer; true when the version rose. */
  boolean install(ConfigurationImage newer) {
    ConfigurationImage before = image;
    ConfigurationImage next = ImageProgress.newer(before, newer);
    if (next == before) {
      return false;
    }
    synchronized (kept) {
      kept.clear();
    }
    return publish(before, next);
  }

  /** Kept changes after a version; empty when some of them are no longer kept. */
  List<ConfigurationDelta> keptAfter(long version) {
    synchronized (kept) {
      boolean reachesBack = !kept.isEmpty() && kept.getFirst().version() <= version + 1;
      return reachesBack
          ? kept.stream().filter(delta -> delta.version() > version).toList()
          : List.of();
    }
  }

  /** All kept changes in order. */
  List<ConfigurationDelta> kept() {
    synchronized (kept) {
      return List.copyOf(kept);
    }
  }

  private void keep(ConfigurationDelta delta) {
    synchronized (kept) {
      kept.addLast(delta);
      if (kept.size() > KEPT_DELTAS) {
        kept.removeFirst();
      }
    }
  }

  private boolean publish(ConfigurationImage before, ConfigurationImage next) {
    if (next.version() <= before.version()) {
      return false;
    }
    image = next;
    loaded = true;
    LOG.info("configuration: Version {} is in force.", next.version());
    for (Consumer<ConfigurationImage> listener : listeners) {
      notify(listener, next);
    }
    return true;
  }

  private static void notify(Consumer<ConfigurationImage> listener, ConfigurationImage next) {
    try {
      listener.accept(next);
    } catch (RuntimeException e) {
      LOG.error("configuration: A listener failed on version {}.", next.version(), e);
    }
  }
}
