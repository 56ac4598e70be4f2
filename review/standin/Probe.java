import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

final class Probe {
  static volatile int garbleMb;
  public static void main(String[] a) throws Exception {
    Path folder = Files.createTempDirectory("probe");
    Store store = new Store();
    store.put("op", "config", Config.configuration(7, 10000));
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < 3; i++) engines.add(new Engine("i-app" + i, "app", "", "1.0"));
    for (int i = 0; i < 2; i++) engines.add(new Engine("i-pre" + i, "llm", "prefill", "1.0"));
    for (int i = 0; i < 2; i++) engines.add(new Engine("i-dec" + i, "llm", "decode", "1.0") {
        void run(MiniServer.Request q, MiniServer.Connection n, Map<String,String> h) throws Exception {
          if (garbleMb == 0) { super.run(q, n, h); return; }
          h.put("X-Fallturn-Response-Stamp", "3e1b");
          h.put("Content-Type", "text/event-stream");
          n.begin(200, h);
          byte[] junk = new byte[16384]; Arrays.fill(junk, (byte) 'x');
          for (int k = 0; k < garbleMb * 64; k++) n.chunk(junk);
          n.socket.close();
        }
      });
    for (Engine e : engines) store.put("servers", e.id, e.entry("ready"));
    int peer = Gateway.freePort();
    Gateway g = new Gateway(folder, 1, store.address(), peer, "");
    g.start();
    System.out.println("ready " + g.awaitReady(20));
    Thread.sleep(2000);
    Client c = new Client(g);
    switch (a[0]) {
      case "paths" -> {
        for (String p : List.of("/pule252/2f", "/pule252/2f?", "/pule252/2f?x=1&&y", "/pule252//x", "/pule252/a|b", "/pule252/%zz", "/pule252/../pule252/x","/pule252/a;b=c?q=//x", "/pule252/a?b=c d".replace(" ", "%20"), "/pule252/a?x[]=1", "/pule252/a#b")) {
          for (Engine e : engines) e.targets.clear();
          c.close();
          Client.Answer r = c.send("POST", p, "", "hello".getBytes(), 0, 1000);
          System.out.println(p + " -> " + r.status() + " " + r.failure() + " " + engines.stream().flatMap(e -> e.targets.stream()).toList());
        }
        String big = "X-Fallturn-Prefix-Hash: " + "5c1e07a2:8,".repeat(1000) + "ab:1\r\n";
        System.out.println("big " + big.length());
        for (int i = 0; i < 3; i++) { var r = c.send("POST", "/pule252/2f", big, "hello".getBytes(), 0, 1000); System.out.println(r.status()+" "+r.failure()); }
        for (int i = 0; i < 5; i++) { var r = c.send("POST", "/pule252/2f", "", "hello".getBytes(), 0, 1000); System.out.println(r.status()+" "+r.failure()); }
        var r = c.send("POST", "/mera411/x", "X-Fallturn-Model: m\r\nX-Fallturn-Token-Count: 100,6\r\nX-Fallturn-Prefix-Hash: 5c:50,91:50\r\n", "hi".getBytes(), 0, 3000);
        System.out.println(r.status()+" "+new String(r.body()) + r.failure());
      }
      case "garble" -> {
        int n = Integer.parseInt(a[1]), mb = Integer.parseInt(a[2]);
        garbleMb = mb;
        Map<String, AtomicInteger> small = new ConcurrentSkipListMap<>(), large = new ConcurrentSkipListMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        for (int i = 0; i < 10; i++) MiniServer.thread("s", () -> { Client k = new Client(g); while (!stop.get()) { var r = k.send("POST", "/pule252/2f", "", new byte[600], 0, 1000); small.computeIfAbsent(r.status()+" "+r.failure(), x->new AtomicInteger()).incrementAndGet(); try { Thread.sleep(50);} catch(Exception e){} } });
        Thread.sleep(3000);
        System.out.println("before " + small);
        List<Thread> ts = new ArrayList<>();
        for (int i = 0; i < n; i++) ts.add(MiniServer.thread("l", () -> { Client k = new Client(g); for (int j = 0; j < 3; j++) { var r = k.send("POST", "/lohu930/x", "X-Fallturn-Model: m\r\nX-Fallturn-Token-Count: 100,6\r\nX-Fallturn-Prefix-Hash: 5c:50,91:50\r\n", "hi".getBytes(), 0, 5000); large.computeIfAbsent(r.status()+" "+r.failure(), x->new AtomicInteger()).incrementAndGet(); } }));
        for (Thread t : ts) t.join(20000);
        System.out.println("small " + small + "\nlarge " + large + "\nends " + g.ends());
        stop.set(true);
      }
      case "ghost" -> {
        Map<String, AtomicInteger> small = new ConcurrentSkipListMap<>(), llm = new ConcurrentSkipListMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        for (int i = 0; i < 10; i++) { int n = i; MiniServer.thread("s", () -> { Client k = new Client(g); while (!stop.get()) {
          var r = n < 6 ? k.send("POST", "/pule252/2f", "", new byte[600], 0, 1000) : k.send("POST", n < 8 ? "/lohu930/x" : "/mera411/x", "X-Fallturn-Model: m\r\nX-Fallturn-Token-Count: 100,6\r\nX-Fallturn-Prefix-Hash: 5c:50,91:50\r\n", "hi".getBytes(), 0, 3000);
          (n < 6 ? small : llm).computeIfAbsent(r.status()+" "+r.failure()+" "+(r.millis() / 200) * 200, x->new AtomicInteger()).incrementAndGet(); try { Thread.sleep(50);} catch(Exception e){} } }); }
        Thread.sleep(4000);
        System.out.println("before " + small + llm); small.clear(); llm.clear();
        for (String entry : a[1].split("\\|")) { String[] kv = entry.split("=", 2); store.put("servers", kv[0], kv[1]); }
        Thread.sleep(10000);
        System.out.println("after " + small + llm + " ends " + g.ends());
        stop.set(true);
      }
      case "upload" -> {
        int n = Integer.parseInt(a[1]), pause = Integer.parseInt(a[2]), size = Integer.parseInt(a[3]);
        Map<String, AtomicInteger> small = new ConcurrentSkipListMap<>(), large = new ConcurrentSkipListMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        for (int i = 0; i < 10; i++) MiniServer.thread("s", () -> { Client k = new Client(g); while (!stop.get()) { var r = k.send("POST", "/pule252/2f", "", new byte[600], 0, 1000); small.computeIfAbsent(r.status()+" "+r.failure(), x->new AtomicInteger()).incrementAndGet(); try { Thread.sleep(50);} catch(Exception e){} } });
        Thread.sleep(3000);
        System.out.println("before " + small);
        List<Thread> ts = new ArrayList<>();
        for (int i = 0; i < n; i++) ts.add(MiniServer.thread("l", () -> { Client k = new Client(g); for (int j = 0; j < 3; j++) { var r = k.send("POST", "/pule252/2f", "", new byte[size], pause, 10000); large.computeIfAbsent(r.status()+" "+r.failure(), x->new AtomicInteger()).incrementAndGet(); } }));
        for (Thread t : ts) t.join(20000);
        System.out.println("small " + small + "\nlarge " + large + "\nends " + g.ends());
        for (int w = 0; w < 4; w++) {
          Thread.sleep(8000); small.clear();
          Process p = new ProcessBuilder("jcmd", "" + g.pid(), "GC.heap_info").redirectErrorStream(true).start();
          System.out.println(new String(p.getInputStream().readAllBytes()).lines().filter(l -> l.contains("used")).limit(2).toList());
          for (int j = 0; j < 3; j++) { Client k = new Client(g); var r = k.send("POST", "/pule252/2f", "", new byte[size], 5, 5000); System.out.println("later " + r.status() + " " + r.failure() + " " + r.millis()); k.close(); }
          System.out.println("small " + small);
        }
        stop.set(true);
      }
    }
    System.out.println(g.log().lines().filter(l -> l.contains("\"level\":\"WARN") || l.contains("ERROR") || l.contains("OutOf") || l.contains("refus")).limit(12).map(l -> l.substring(0, Math.min(400, l.length()))).toList());
    Files.writeString(Path.of("/tmp/probe.log"), g.log());
    g.close();
    System.exit(0);
  }
}
