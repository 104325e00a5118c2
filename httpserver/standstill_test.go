package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainingProcess names the variable that makes the test binary the process under test.
const drainingProcess = "GALENA_TEST_DRAINING_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(drainingProcess) != "" {
		drainProcess()
		return
	}
	os.Exit(m.Run())
}

// drainProcess serves a listener, whose address it prints, and drains it at the end of its input.
func drainProcess() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var requests Requests
	server := &http.Server{Handler: requests.Track(http.NotFoundHandler())}
	go func() { _ = server.Serve(listener) }()
	fmt.Println(listener.Addr())
	_, _ = io.ReadAll(os.Stdin) // ends when the test closes it
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = requests.Drain(ctx, 100*time.Millisecond, listener) // shows in the responses
	_ = server.Close()
}

// A request that a draining process receives while it stands still is answered.
func TestRequestDuringStandstillOfDrainIsAnswered(t *testing.T) {
	for range 5 {
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), drainingProcess+"=1", "GORACE=atexit_sleep_ms=0")
		input, err := process.StdinPipe()
		require.NoError(t, err)
		output, err := process.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, process.Start())
		defer func() { _ = process.Process.Kill() }() // has ended unless the test failed
		address, err := bufio.NewReader(output).ReadString('\n')
		require.NoError(t, err)
		conn, err := net.Dial("tcp4", address[:len(address)-1])
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		reader := bufio.NewReader(conn)
		ask := func() {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			require.NoError(t, err)
		}
		requireResponse := func() {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
		}
		ask()
		requireResponse()
		require.NoError(t, input.Close())
		time.Sleep(30 * time.Millisecond)
		require.NoError(t, process.Process.Signal(syscall.SIGSTOP))
		time.Sleep(200 * time.Millisecond)
		ask()
		require.NoError(t, process.Process.Signal(syscall.SIGCONT))
		requireResponse()
		require.NoError(t, process.Wait())
	}
}
