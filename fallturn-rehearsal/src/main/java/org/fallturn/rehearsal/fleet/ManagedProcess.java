package org.fallturn.rehearsal.fleet;

import java.io.BufferedReader;
import java.io.FileWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One Java process of the fleet. Its ports are learned from the lines {@code listening [NAME]
 * HOST:PORT} that it prints; everything else goes to its log file. Thread-safe.
 */
public final class ManagedProcess implements AutoCloseable {

  private static final String LISTENING = "listening ";
  private static final String ONLY_PORT = "";
  private static final long START_MILLIS = 60_000;
  private static final long KILL_SECONDS = 30;
  private static final List<String> SMALL_JVM =
      List.of(
          "-Xmx128m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

  private final String name;
  private final Path logFile;
  private final Process process;
  private final Map<String, NetworkAddress> ports = new HashMap<>();
  private boolean ended;

  private ManagedProcess(String name, Path logFile, Process process) {
    this.name = name;
    this.logFile = logFile;
    this.process = process;
  }

  /**
   * Starts a process with the class path of this one.
   *
   * @param name for log file and messages
   * @param directory where the log file goes
   * @param mainClass the program
   * @param arguments its arguments
   */
  public static ManagedProcess start(
      String name, Path directory, Class<?> mainClass, List<String> arguments) throws IOException {
    return start(name, directory, SMALL_JVM, mainClass, arguments);
  }

  /**
   * Starts a small process of another build.
   *
   * @param classPath where that build's classes are
   */
  public static ManagedProcess startBuild(
      String name, Path directory, String classPath, Class<?> mainClass, List<String> arguments)
      throws IOException {
    return start(name, directory, SMALL_JVM, classPath, mainClass, arguments);
  }

  /**
   * Starts a process with options of its own for the virtual machine.
   *
   * @param jvmOptions for example the bound on the heap
   */
  public static ManagedProcess start(
      String name,
      Path directory,
      List<String> jvmOptions,
      Class<?> mainClass,
      List<String> arguments)
      throws IOException {
    String classPath = System.getProperty("java.class.path");
    return start(name, directory, jvmOptions, classPath, mainClass, arguments);
  }

  private static ManagedProcess start(
      String name,
      Path directory,
      List<String> jvmOptions,
      String classPath,
      Class<?> mainClass,
      List<String> arguments)
      throws IOException {
    Path logFile = directory.resolve(name + ".log");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.add("-cp");
    command.add(classPath);
    command.add(mainClass.getName());
    command.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    ManagedProcess managed = new ManagedProcess(name, logFile, process);
    Thread reader = new Thread(managed::readOutput, "output-" + name);
    reader.setDaemon(true);
    reader.start();
    return managed;
  }

  private void readOutput() {
    try (BufferedReader lines =
            new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        PrintWriter log =
            new PrintWriter(new FileWriter(logFile.toFile(), StandardCharsets.UTF_8, true), true)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith(LISTENING)) {
          readAddress(line);
        } else {
          log.println(line);
        }
      }
    } catch (IOException e) {
      // The stream ends with the process.
    } finally {
      end();
    }
  }

  private synchronized void end() {
    ended = true;
    notifyAll();
  }

  private synchronized void readAddress(String line) {
    String[] words = line.split(" ");
    String port = words.length == 2 ? ONLY_PORT : words[1];
    ports.put(port, NetworkAddress.parse(words[words.length - 1]));
    notifyAll();
  }

  /** Its name. */
  public String name() {
    return name;
  }

  /** Where it logs. */
  public Path logFile() {
    return logFile;
  }

  /** The address of its only port, once it listens. */
  public NetworkAddress address() throws IOException {
    return address(ONLY_PORT);
  }

  /** The address of the port of that name, once it listens. */
  public synchronized NetworkAddress address(String port) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
    while (!ports.containsKey(port)) {
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (ended || left <= 0) {
        throw new IOException(name + " does not listen on port " + port + "; see " + logFile);
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while " + name + " was starting", e);
      }
    }
    return ports.get(port);
  }

  /** Processor time it has used so far, over all its threads. */
  public Duration processorTime() {
    return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Whether it runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends it at once, as a power cut would. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Asks for a planned stop. Goes through the handle: {@link Process#destroy} would also close the
   * process's output, and with it lose the log of the stop.
   */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Its exit code once it has ended within the time. */
  public OptionalInt awaitExit(long seconds) throws InterruptedException {
    boolean done = process.waitFor(seconds, TimeUnit.SECONDS);
    return done ? OptionalInt.of(process.exitValue()) : OptionalInt.empty();
  }

  /** Stops its threads where they are. */
  public void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Lets a paused process go on. */
  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  /** Lets it read its settings again. */
  public void reload() throws IOException, InterruptedException {
    signal("-HUP");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
    // A process that has just ended takes no signal.
    if (kill.waitFor() != 0 && process.isAlive()) {
      throw new IOException("cannot send " + signal + " to " + name);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
