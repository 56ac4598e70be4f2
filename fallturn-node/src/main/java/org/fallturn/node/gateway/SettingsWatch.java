package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;
import org.fallturn.node.settings.GatewaySettings;
import org.fallturn.node.settings.SettingsException;

/**
 * The duty that reloads the settings file, on SIGHUP or when its text has changed. A file with a
 * mistake changes nothing: the duty logs the mistakes and the old settings stay in force.
 */
final class SettingsWatch implements AutoCloseable {

  private static final long CHECK_SECONDS = 2;

  private final Path file;
  private final Consumer<GatewaySettings> changed;
  private final DecisionLog log;
  private final Semaphore reloadRequests = ReloadSignal.count();
  private final DutyLoop loop = new DutyLoop("settings", this::watch);
  private String lastText = "";

  /**
   * A watch that has not started.
   *
   * @param changed takes settings without mistakes, on the watch's thread
   */
  SettingsWatch(Path file, Consumer<GatewaySettings> changed, DecisionLog log) {
    this.file = file;
    this.changed = changed;
    this.log = log;
  }

  /**
   * Starts the thread.
   *
   * @param faults receives what the duty does not catch
   */
  void start(FaultListener faults) {
    lastText = text();
    loop.start(faults);
  }

  /**
   * The loop calls this again after a fault. Settings that were not taken because of it still count
   * as changed.
   */
  private void watch() throws InterruptedException {
    while (true) {
      boolean requested = reloadRequests.tryAcquire(CHECK_SECONDS, TimeUnit.SECONDS);
      reloadRequests.drainPermits();
      String text = text();
      if (requested || !text.equals(lastText)) {
        reload(text);
        lastText = text;
      }
    }
  }

  /**
   * Returns the text of the file. A file that cannot be read counts as unchanged, since the
   * platform may be replacing it.
   */
  private String text() {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      return lastText;
    }
  }

  private void reload(String text) {
    try {
      GatewaySettings settings =
          GatewaySettings.from(GatewaySettings.reader().toml(file.toString(), text).values());
      changed.accept(settings);
      log.settingsReloaded();
    } catch (SettingsException e) {
      log.settingsRefused(e.getMessage());
    }
  }

  @Override
  public void close() {
    loop.close();
  }
}
