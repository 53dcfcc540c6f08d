package hotrestart

import (
	"os"
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenFiles: processes of different versions must agree on the names and contents of the files.
func TestGoldenFiles(t *testing.T) {
	dir := t.TempDir()
	var claims []*Claim
	for range 2 {
		c, err := Acquire(dir, "127.0.0.1:8080")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		claims = append(claims, c)
	}
	files := func() map[string]string {
		entries, err := os.ReadDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		all := map[string]string{}
		for _, e := range entries {
			b, err := os.ReadFile(dir + "/" + e.Name())
			if err != nil {
				t.Fatal(err)
			}
			all[e.Name()] = string(b)
		}
		return all
	}
	golden.Equal(t, "files after two claims", map[string]string{"notchhinge-127.0.0.1_8080.owner": "", "notchhinge-127.0.0.1_8080.heir": "coming"}, files())
	if err := claims[1].AnnounceReady(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "files after AnnounceReady", map[string]string{"notchhinge-127.0.0.1_8080.owner": "", "notchhinge-127.0.0.1_8080.heir": "ready "}, files())
	golden.Equal(t, "path of the state file", dir+"/notchhinge-127.0.0.1_8080.state", claims[1].statePath)
}
